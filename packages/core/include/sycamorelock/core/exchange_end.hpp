// Decides whether an answer that ends with its connection is complete.
#pragma once

#include <cstdint>
#include <string_view>

namespace sycamorelock::core
{

/// What has become of writing the request.
enum class request_write : std::uint8_t
{
    pending,
    written,
    failed,
};

/// State of a connection whose peer has ended its sending side.
struct connection_state
{
    /// The connection still has a peer. A reset takes it away, whichever
    /// operation is told of the error.
    bool has_peer = true;
    /// The peer has acknowledged all that was written.
    bool is_delivered = true;
};

/// Whether the end of a connection completes an answer without a length.
enum class answer_completion : std::uint8_t
{
    /// The peer has not ended the answer.
    open,
    /// It has, while a part of the request was still on its way. A reset may
    /// follow: a process that is killed with nothing unread closes in order
    /// and resets the connection at the next segment.
    undecided,
    complete,
    /// The write of the request failed.
    write_failed,
    /// A read failed.
    read_failed,
    /// The connection was reset, and neither the read nor the write was told.
    reset_unseen,
};
std::string_view to_string(answer_completion completion);

/// What one connection has told of one request and its answer. An error of a
/// socket is reported to one operation only, so that a read alone cannot tell a
/// reset from the end of the answer.
class exchange_end
{
  public:
    /// The write of the request has ended. A later call has no effect.
    void on_write(bool succeeded);
    /// A read failed.
    void on_read_error();
    /// A read met the end of the peer's sending side, or the connection was
    /// looked at after that.
    void on_end(connection_state seen);
    /// No reset has come within a round trip of the end.
    void on_reset_overdue();

    [[nodiscard]] request_write write() const { return write_; }
    [[nodiscard]] answer_completion completion() const;

  private:
    request_write write_ = request_write::pending;
    bool has_ended_ = false;
    bool read_failed_ = false;
    bool peer_lost_ = false;
    bool is_delivered_ = false;
    bool reset_overdue_ = false;
};

} // namespace sycamorelock::core
