// Heads of answers that HTTP/1.1 forbids, or whose body would not be the one
// that was meant.
#pragma once

#include <string>
#include <vector>

namespace standin
{

struct forbidden_head
{
    std::string name;
    std::string status_line = "HTTP/1.1 200 OK";
    /// Stand before the fields that make the answer whole, and behind them.
    std::string before{};
    std::string behind{};
    /// Frames the body.
    std::string length = "Content-Length: 2\r\n";
    std::string body = "{}";
    /// A success does not prove its origin; nothing else is wrong.
    bool lacks_seal = false;

    /// The whole answer.
    /// \param fields of a sound answer, each with its line end.
    [[nodiscard]] std::string bytes(const std::string& fields) const
    {
        return status_line + "\r\n" + before + fields + length + behind +
               "\r\n" + body;
    }
};

inline std::vector<forbidden_head> forbidden_heads()
{
    std::vector<forbidden_head> all;
    for (const char* status :
         {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 020 X",
          "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X",
          "HTTP/1.1 2000 X", "HTTP/1.1 2x0 X", "HTTP/1.1 -20 X", "HTTP/1.1",
          "HTTP/1.1 ", "HTTP/2.0 200 OK", "HTTX/1.1 200 OK", "200 OK"})
        all.push_back({status, status});
    static const std::string wrong{" \t\1\0\x7f\x80\xff\"(),/;<=>?@[]{}", 23};
    for (const char each : wrong)
    {
        const std::string line = std::string("X") + each + "A: b\r\n";
        const std::string name =
            "character " + std::to_string(static_cast<unsigned char>(each));
        all.push_back({.name = name + " first", .before = line});
        all.push_back({.name = name + " last", .behind = line});
    }
    all.push_back({.name = "no name", .before = ": b\r\n"});
    all.push_back({.name = "no colon", .before = "X-A\r\n"});
    for (const char* line :
         {"Content-Length : 2\r\n", "Content-Length\t: 2\r\n",
          "Content-Length\1: 2\r\n", "Content Length: 2\r\n"})
        all.push_back({.name = line, .length = line});
    for (const char* line :
         {"Transfer-Encoding : chunked\r\n", "Transfer-Encoding\1: chunked\r\n",
          "Transfer-Encoding: zip, chunked\r\n",
          "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: chunked;a=b\r\n",
          "Transfer-Encoding: zip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"})
        all.push_back(
            {.name = line, .length = line, .body = "2\r\n{}\r\n0\r\n\r\n"});
    all.push_back({.name = "chunks in HTTP/1.0",
                   .status_line = "HTTP/1.0 200 OK",
                   .length = "Transfer-Encoding: chunked\r\n",
                   .body = "2\r\n{}\r\n0\r\n\r\n"});
    for (const char* line :
         {"Transfer-Encoding: zip\r\n", "Transfer-Encoding: identity\r\n",
          "Transfer-Encoding:\r\n",
          "Content-Length: 2\r\nContent-Length: 1\r\n",
          "Content-Length: 2, 1\r\n", "Content-Length: +2\r\n",
          "Content-Length: -2\r\n", "Content-Length: 2x\r\n",
          "Content-Length: 18446744073709551618\r\n"})
        all.push_back({.name = line, .length = line});
    all.push_back({.name = "folded line", .before = "X-A: b\r\n c\r\n"});
    all.push_back({.name = "folded with a tab", .before = "X-A: b\r\n\tc\r\n"});
    all.push_back({.name = "folded blank line", .before = "X-A: b\r\n \r\n"});
    all.push_back(
        {.name = "folded before the value", .before = "X-A:\r\n b\r\n"});
    all.push_back({.name = "first line is folded", .before = " X-A: b\r\n"});
    all.push_back(
        {.name = "folded length", .length = "Content-Length:\r\n 2\r\n"});
    all.push_back(
        {.name = "line folded behind the length", .behind = " 2\r\n"});
    return all;
}

} // namespace standin
