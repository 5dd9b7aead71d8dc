// Makes descriptors short, and asks for pages over plain sockets.
#pragma once

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <ctime>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

/// While it lives, the process gets no further descriptors, or as many as
/// asked for.
class descriptor_shortage
{
  public:
    explicit descriptor_shortage(rlim_t left = 0)
    {
        getrlimit(RLIMIT_NOFILE, &old_);
        const rlimit short_of{next_descriptor() + left, old_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &short_of);
    }
    ~descriptor_shortage() { setrlimit(RLIMIT_NOFILE, &old_); }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

  private:
    static rlim_t next_descriptor()
    {
        const int probe = dup(STDERR_FILENO);
        close(probe);
        return static_cast<rlim_t>(probe);
    }

    rlimit old_{};
};

/// Processor time of this process so far.
inline double processor_seconds()
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

/// The first line of the answer to a GET request; empty if none came.
inline std::string status_line(boost::asio::ip::tcp::socket& socket,
                               const std::string& path)
{
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(request), error);
    boost::asio::streambuf answer;
    boost::asio::read_until(socket, answer, "\r\n", error);
    return {boost::asio::buffers_begin(answer.data()),
            boost::asio::buffers_end(answer.data())};
}
