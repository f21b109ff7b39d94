#ifndef AUBURNWEIR_TESTS_HTTP10_CALLER_HPP
#define AUBURNWEIR_TESTS_HTTP10_CALLER_HPP

#include "support/caller.hpp"
#include "transport/asio.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <ostream>
#include <poll.h>
#include <string>

namespace auburnweir::tests
{

/// How a connection ended for the caller that reads from it.
enum class connection_end
{
    orderly, ///< end of file
    reset,
    silent, ///< it did not end in time
    other   ///< another error
};

inline std::ostream& operator<<(std::ostream& to, connection_end end)
{
    constexpr std::array<char const*, 4> names{"orderly", "reset", "silent", "other"};
    return to << names.at(static_cast<std::size_t>(end));
}

/// A caller with HTTP/1.0 that sees the bytes of responses and how its connection ends.
class http10_caller
{
public:
    /// @param receive_buffer_bytes  size of the socket's receive buffer; 0: the system's default
    explicit http10_caller(std::uint16_t port, int receive_buffer_bytes = 0)
        : socket_(io_)
    {
        using transport::net::ip::address_v4;
        transport::tcp::endpoint const to{address_v4::loopback(), port};
        socket_.open(to.protocol());
        if (receive_buffer_bytes > 0)
            socket_.set_option(
                transport::net::socket_base::receive_buffer_size(receive_buffer_bytes));
        socket_.connect(to);
    }

    void send(
        std::string const& method, std::string const& target, header_list const& headers,
        std::string const& body)
    {
        auto text = method + " " + target + " HTTP/1.0\r\n";
        for (auto const& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        transport::net::write(socket_, transport::net::buffer(text));
    }

    /// Reads until the body of the response has `size` bytes. @return false if it ends before
    bool read_body(std::size_t size)
    {
        while (body().size() < size)
            if (!read_some())
                return false;
        return true;
    }

    /// Reads until the connection ends.
    connection_end read_to_end()
    {
        while (read_some())
        {
        }
        return end_;
    }

    /// Reads a response that states its length and forgets the bytes of those before it.
    /// @return false if it states none, or the connection ends before its last byte
    bool read_response_with_length()
    {
        received_.clear();
        while (header_size() == 0)
            if (!read_some())
                return false;
        auto const length = header("Content-Length");
        std::size_t size = 0;
        auto const parsed = std::from_chars(length.data(), length.data() + length.size(), size);
        return !length.empty() && parsed.ec == std::errc{} && read_body(size);
    }

    /// Status of the response; 0 if there is none.
    int status() const
    {
        int status = 0;
        auto const at = received_.find(' ');
        if (at != std::string::npos)
            std::from_chars(received_.data() + at + 1, received_.data() + received_.size(), status);
        return status;
    }

    /// Value of a header; empty if the response has none of this name.
    std::string header(std::string const& name) const
    {
        auto const text = received_.substr(0, header_size());
        for (auto at = text.find("\r\n"); at != std::string::npos; at = text.find("\r\n", at + 2))
        {
            auto const line = text.substr(at + 2, text.find("\r\n", at + 2) - at - 2);
            auto const colon = line.find(": ");
            if (colon != std::string::npos &&
                transport::beast::iequals(line.substr(0, colon), name))
                return line.substr(colon + 2);
        }
        return {};
    }

    /// All bytes after the header.
    std::string body() const
    {
        return header_size() == 0 ? std::string{} : received_.substr(header_size());
    }

private:
    static constexpr std::chrono::milliseconds max_silence{10000};

    std::size_t header_size() const
    {
        auto const end = received_.find("\r\n\r\n");
        return end == std::string::npos ? 0 : end + 4;
    }

    /// @return false at the end of the connection
    bool read_some()
    {
        pollfd readable{socket_.native_handle(), POLLIN, 0};
        if (::poll(&readable, 1, static_cast<int>(max_silence.count())) != 1)
        {
            end_ = connection_end::silent;
            return false;
        }
        std::array<char, 4096> part{};
        transport::error_code error;
        auto const size = socket_.read_some(transport::net::buffer(part), error);
        received_.append(part.data(), size);
        if (!error)
            return true;
        if (error == transport::net::error::eof)
            end_ = connection_end::orderly;
        else if (error == transport::net::error::connection_reset)
            end_ = connection_end::reset;
        else
            end_ = connection_end::other;
        return false;
    }

    transport::net::io_context io_{1};
    transport::tcp::socket socket_;
    std::string received_;
    connection_end end_ = connection_end::silent;
};

} // namespace auburnweir::tests

#endif
