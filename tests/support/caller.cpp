#include "support/caller.hpp"

#include <thread>

namespace auburnweir::tests
{

namespace
{

namespace net = transport::net;
using tcp = transport::tcp;

constexpr state::duration stream_timeout = std::chrono::seconds{30};

template <class T>
net::awaitable<void> store_result(
    net::io_context& io, net::awaitable<T> task, std::optional<T>& result)
{
    result.emplace(co_await std::move(task));
    io.stop();
}

/// Runs one coroutine to completion.
template <class T>
T run_to_completion(net::io_context& io, net::awaitable<T> task)
{
    std::optional<T> result;
    io.restart();
    net::co_spawn(io, store_result(io, std::move(task), result), net::detached);
    io.run();
    return std::move(*result);
}

transport::http_request make_call(
    std::string method, std::string target, header_list headers, std::string body)
{
    transport::http_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers = std::move(headers);
    request.body = std::move(body);
    if (!request.body.empty())
        request.content_type = "application/json";
    return request;
}

} // namespace

caller_session::caller_session()
    : io_(std::make_unique<net::io_context>(1))
    , client_(std::make_unique<transport::http_client>(*io_))
{
}

received_response caller_session::call(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body, int timeout_ms)
{
    auto request =
        make_call(std::move(method), std::move(target), std::move(headers), std::move(body));
    state::endpoint to{"127.0.0.1", port};
    auto const timeout = std::chrono::milliseconds{timeout_ms};
    auto response =
        run_to_completion(*io_, client_->call(std::move(to), std::move(request), timeout));
    received_response received;
    if (!response)
        return received;
    received.status = response.value().status;
    received.body = std::move(response.value().body);
    received.headers = std::move(response.value().headers);
    received.is_complete = true;
    return received;
}

received_response caller_session::call_for_parts(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body, int timeout_ms)
{
    constexpr std::size_t max_body_bytes = 1'000'000;
    auto request =
        make_call(std::move(method), std::move(target), std::move(headers), std::move(body));
    state::endpoint to{"127.0.0.1", port};
    auto const timeout = std::chrono::milliseconds{timeout_ms};
    auto opened =
        run_to_completion(*io_, client_->open(std::move(to), std::move(request), timeout));
    received_response received;
    if (!opened)
        return received;
    auto& stream = opened.value();
    received.status = stream.status();
    received.headers = stream.headers();
    while (received.body.size() < max_body_bytes)
    {
        auto const part = run_to_completion(*io_, stream.read(timeout));
        if (!part)
            return received;
        received.body += part.value();
        if (!part.value().empty())
            continue;
        received.is_complete = true;
        stream.keep_connection();
        return received;
    }
    return received;
}

received_response call(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body, int timeout_ms)
{
    caller_session session;
    return session.call(
        port, std::move(method), std::move(target), std::move(headers), std::move(body),
        timeout_ms);
}

std::string send_raw(std::uint16_t port, std::string const& bytes, int timeout_ms)
{
    return send_raw(port, {bytes}, 0, timeout_ms);
}

std::string send_raw(
    std::uint16_t port, std::vector<std::string> const& chunks, int pause_ms, int timeout_ms)
{
    net::io_context io(1);
    transport::beast::tcp_stream stream(io);
    transport::error_code error;
    stream.connect(tcp::endpoint{net::ip::address_v4::loopback(), port}, error);
    for (auto const& bytes : chunks)
    {
        if (&bytes != &chunks.front())
            std::this_thread::sleep_for(std::chrono::milliseconds{pause_ms});
        net::write(stream.socket(), net::buffer(bytes), error);
    }
    std::string received;
    std::array<char, 4096> buffer{};
    std::function<void()> read = [&]
    {
        stream.expires_after(std::chrono::milliseconds{timeout_ms});
        stream.async_read_some(
            net::buffer(buffer),
            [&](transport::error_code read_error, std::size_t size)
            {
                received.append(buffer.data(), size);
                if (!read_error)
                    read();
            });
    };
    read();
    io.run();
    return received;
}

streamed_answer::streamed_answer(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body)
    : io_(std::make_unique<net::io_context>(1))
    , client_(std::make_unique<transport::http_client>(*io_))
{
    headers.emplace_back("Accept", "text/event-stream");
    auto request =
        make_call(std::move(method), std::move(target), std::move(headers), std::move(body));
    state::endpoint to{"127.0.0.1", port};
    auto opened =
        run_to_completion(*io_, client_->open(std::move(to), std::move(request), stream_timeout));
    if (!opened)
        return;
    status_ = opened.value().status();
    stream_.emplace(std::move(opened.value()));
}

void streamed_answer::read_tokens(std::size_t count)
{
    while (stream_ && tokens_ < count && !finished_)
        read_part();
}

void streamed_answer::read_bytes(std::size_t count)
{
    while (stream_ && body_.size() < count)
        read_part();
}

void streamed_answer::read_part()
{
    auto const bytes = run_to_completion(*io_, stream_->read(stream_timeout));
    if (!bytes || bytes.value().empty())
    {
        complete_ = bytes.has_value();
        stream_.reset();
        return;
    }
    body_ += bytes.value();
    parse_lines(std::string{bytes.value()});
}

void streamed_answer::parse_lines(std::string const& bytes)
{
    buffer_ += bytes;
    for (auto end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n'))
    {
        auto const line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (line.rfind("id: ", 0) == 0)
            last_event_id_ = line.substr(4);
        if (line == "data: [DONE]")
            finished_ = true;
        if (line.rfind("data: {", 0) != 0)
            continue;
        auto const event = json::parse(line.substr(6));
        auto const& choice = event["choices"][0];
        auto const content = protocol::text_at(choice["delta"], "content");
        tokens_ += content.empty() ? 0 : 1;
        text_ += content;
        if (choice["finish_reason"].is_string())
            finish_reason_ = choice["finish_reason"];
    }
}

} // namespace auburnweir::tests
