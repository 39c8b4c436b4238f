#include "net/http.hpp"

#include <boost/asio/write.hpp>
#include <charconv>
#include <stdexcept>

namespace marblewood::net::http {
namespace {

constexpr std::size_t kMaxHeadBytes = 16 * 1024, kMaxBodyBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxMessageBytes = 2 * kMaxBodyBytes; // includes chunk headers and trailers

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}
std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}
std::size_t parse_length(std::string_view digits, int base) {
    std::size_t n = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), n, base);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size() || n > kMaxBodyBytes)
        throw std::runtime_error("invalid length");
    return n;
}

// Appends a chunked body to `body` and removes it from `rest`; false while it is incomplete.
bool read_chunks(std::string_view &rest, std::string &body) {
    for (;;) {
        const std::size_t end = rest.find("\r\n");
        if (end == std::string_view::npos)
            return false;
        const std::string_view head = rest.substr(0, end);
        const std::size_t size = parse_length(trim(head.substr(0, head.find(';'))), 16);
        rest.remove_prefix(end + 2);
        if (size == 0)
            break;
        if (rest.size() < size + 2)
            return false;
        body.append(rest.substr(0, size));
        if (body.size() > kMaxBodyBytes)
            throw std::runtime_error("body too large");
        if (rest.substr(size, 2) != "\r\n")
            // No line end follows the chunk's data, so the data is longer than the announced size.
            throw std::runtime_error("chunk runs on");
        rest.remove_prefix(size + 2);
    }
    for (;;) { // skips the trailers
        const std::size_t end = rest.find("\r\n");
        if (end == std::string_view::npos)
            return false;
        rest.remove_prefix(end + 2);
        if (end == 0)
            return true;
    }
}

struct Head {
    std::string_view first_line;
    std::size_t end = 0;             // the offset of the body
    std::optional<std::size_t> size; // Content-Length
    bool chunked = false, close = false;
    std::optional<std::string> retry_after;
};

// Parses the head of a message; empty while it is incomplete.
std::optional<Head> read_head(std::string_view in) {
    const std::size_t head_end = in.find("\r\n\r\n");
    if (std::min(head_end, in.size()) > kMaxHeadBytes)
        throw std::runtime_error("head too large");
    if (head_end == std::string_view::npos)
        return std::nullopt;
    const std::string_view text = in.substr(0, head_end);
    Head head;
    head.first_line = text.substr(0, text.find("\r\n"));
    head.end = head_end + 4;
    for (std::size_t line_start = text.find("\r\n"); line_start != std::string_view::npos;) {
        line_start += 2;
        const std::size_t end = text.find("\r\n", line_start);
        const std::string_view line = text.substr(
            line_start, end == std::string_view::npos ? std::string_view::npos : end - line_start);
        line_start = end;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            throw std::runtime_error("malformed header");
        const std::string_view name = line.substr(0, colon), value = trim(line.substr(colon + 1));
        if (equals_ignoring_case(name, "content-length"))
            head.size = parse_length(value, 10);
        if (equals_ignoring_case(name, "transfer-encoding"))
            head.chunked = equals_ignoring_case(value, "chunked");
        if (equals_ignoring_case(name, "connection") && equals_ignoring_case(value, "close"))
            head.close = true;
        if (equals_ignoring_case(name, "retry-after"))
            head.retry_after = value;
    }
    return head;
}

} // namespace

std::optional<Request> read_request(const std::string &in) {
    const auto head = read_head(in);
    if (!head)
        return std::nullopt;
    const std::string_view line = head->first_line;
    const std::size_t space = line.find(' '), last = line.rfind(' ');
    if (space == 0 || space == std::string_view::npos || last <= space + 1 ||
        !line.substr(last + 1).starts_with("HTTP/1."))
        throw std::runtime_error("no request line");
    Request request{
        std::string(line.substr(0, space)), std::string(line.substr(space + 1, last - space - 1)), {}, 0};
    std::string_view rest = std::string_view(in).substr(head->end);
    if (head->chunked) {
        if (!read_chunks(rest, request.body))
            return std::nullopt;
    } else {
        if (rest.size() < head->size.value_or(0))
            return std::nullopt;
        request.body = rest.substr(0, head->size.value_or(0));
        rest.remove_prefix(request.body.size());
    }
    request.wire_bytes = in.size() - rest.size();
    return request;
}

std::optional<Response> take(std::string &in, bool ended) {
    const auto head = read_head(in);
    if (!head)
        return std::nullopt;
    if (head->first_line.size() < 12 || !head->first_line.starts_with("HTTP/1."))
        throw std::runtime_error("no status line");
    Response response;
    response.status = static_cast<int>(parse_length(head->first_line.substr(9, 3), 10));
    response.keep = !head->close;
    response.retry_after = head->retry_after;
    std::string_view rest = std::string_view(in).substr(head->end);
    if (response.status >= 100 && response.status < 200) { // skips an interim response; the final one follows
        in.erase(0, head->end);
        return take(in, ended);
    }
    if (head->chunked) {
        if (!read_chunks(rest, response.body))
            return std::nullopt;
    } else if (head->size) {
        if (rest.size() < *head->size)
            return std::nullopt;
        response.body = rest.substr(0, *head->size);
        rest.remove_prefix(*head->size);
    } else if (response.status != 204 && response.status != 304) {
        // Without a length the body ends when the peer closes the connection.
        if (rest.size() > kMaxBodyBytes)
            throw std::runtime_error("body too large");
        if (!ended)
            return std::nullopt;
        response.body = rest;
        rest = {};
        response.keep = false;
    }
    response.wire_bytes = in.size() - rest.size();
    in = std::string(rest);
    return response;
}

asio::awaitable<std::optional<Response>> receive_response(tcp::socket &socket, std::string &in, Micros until,
                                                          core::Deadlines &deadlines) {
    std::optional<Response> response;
    boost::system::error_code error;
    {
        const auto timer = deadlines.at(until, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        try {
            response = take(in, false);
            while (!error && !response && in.size() <= kMaxMessageBytes) {
                error = co_await read_more(socket, in);
                response = take(in, error == asio::error::eof);
            }
        } catch (const std::runtime_error &) {
            response.reset();
        }
        if (response && !in.empty())
            response->keep = false; // bytes after the response belong to no request
    }
    if (!response || !response->keep)
        socket.close(error);
    co_return response;
}

asio::awaitable<std::optional<Response>> exchange(tcp::socket &socket, std::string request, Micros until,
                                                  core::Deadlines &deadlines) {
    boost::system::error_code error;
    {
        const auto timer = deadlines.at(until, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        co_await write_all(socket, request, error);
    }
    std::string in;
    if (!error)
        co_return co_await receive_response(socket, in, until, deadlines);
    socket.close(error);
    co_return std::nullopt;
}

} // namespace marblewood::net::http
