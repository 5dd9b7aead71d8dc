// Any sign of a reset outweighs the end of the connection.
#include "sycamorelock/core/exchange_end.hpp"

namespace sycamorelock::core
{

std::string_view to_string(answer_completion completion)
{
    using enum answer_completion;
    switch (completion)
    {
    case open:
        return "open";
    case undecided:
        return "undecided";
    case complete:
        return "complete";
    case write_failed:
        return "write_failed";
    case read_failed:
        return "read_failed";
    case reset_unseen:
        return "reset_unseen";
    }
    return "unknown";
}

void exchange_end::on_write(bool succeeded)
{
    if (write_ == request_write::pending)
        write_ = succeeded ? request_write::written : request_write::failed;
}

void exchange_end::on_read_error()
{
    read_failed_ = true;
}

void exchange_end::on_end(connection_state seen)
{
    has_ended_ = true;
    peer_lost_ = peer_lost_ || !seen.has_peer;
    is_delivered_ = seen.is_delivered;
}

void exchange_end::on_reset_overdue()
{
    reset_overdue_ = true;
}

answer_completion exchange_end::completion() const
{
    using enum answer_completion;
    if (write_ == request_write::failed)
        return write_failed;
    if (read_failed_)
        return read_failed;
    if (peer_lost_)
        return reset_unseen;
    if (!has_ended_)
        return open;
    const bool is_sent = write_ == request_write::written && is_delivered_;
    return is_sent || reset_overdue_ ? complete : undecided;
}

} // namespace sycamorelock::core
