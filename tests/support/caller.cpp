#include "support/caller.hpp"

#include <thread>

namespace auburnweir::tests
{

namespace
{

namespace net = transport::net;
using tcp = transport::tcp;

constexpr state::duration stream_limit = std::chrono::seconds{30};

template <class T>
net::awaitable<void> store(net::io_context& io, net::awaitable<T> task, std::optional<T>& result)
{
    result.emplace(co_await std::move(task));
    io.stop();
}

/// Runs one coroutine to its end.
template <class T>
T run(net::io_context& io, net::awaitable<T> task)
{
    std::optional<T> result;
    io.restart();
    net::co_spawn(io, store(io, std::move(task), result), net::detached);
    io.run();
    return std::move(*result);
}

transport::http_call call_of(
    std::string method, std::string target, header_list headers, std::string body)
{
    transport::http_call what;
    what.method = std::move(method);
    what.target = std::move(target);
    what.headers = std::move(headers);
    what.body = std::move(body);
    if (!what.body.empty())
        what.content_type = "application/json";
    return what;
}

} // namespace

caller_session::caller_session()
    : io_(std::make_unique<net::io_context>(1))
    , client_(std::make_unique<transport::http_client>(*io_))
{
}

received_response caller_session::call(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body, int limit_ms)
{
    auto what = call_of(std::move(method), std::move(target), std::move(headers), std::move(body));
    state::endpoint to{"127.0.0.1", port};
    auto const limit = std::chrono::milliseconds{limit_ms};
    auto reply = run(*io_, client_->call(std::move(to), std::move(what), limit));
    received_response seen;
    if (!reply)
        return seen;
    seen.status = reply.value().status;
    seen.body = std::move(reply.value().body);
    seen.headers = std::move(reply.value().headers);
    return seen;
}

received_response call(
    std::uint16_t port, std::string method, std::string target, header_list headers,
    std::string body, int limit_ms)
{
    caller_session session;
    return session.call(
        port, std::move(method), std::move(target), std::move(headers), std::move(body), limit_ms);
}

std::string send_raw(std::uint16_t port, std::string const& bytes, int limit_ms)
{
    return send_raw(port, {bytes}, 0, limit_ms);
}

std::string send_raw(
    std::uint16_t port, std::vector<std::string> const& parts, int pause_ms, int limit_ms)
{
    net::io_context io(1);
    transport::beast::tcp_stream stream(io);
    transport::error_code fault;
    stream.connect(tcp::endpoint{net::ip::address_v4::loopback(), port}, fault);
    for (auto const& bytes : parts)
    {
        if (&bytes != &parts.front())
            std::this_thread::sleep_for(std::chrono::milliseconds{pause_ms});
        net::write(stream.socket(), net::buffer(bytes), fault);
    }
    std::string received;
    std::array<char, 4096> part{};
    std::function<void()> read = [&]
    {
        stream.expires_after(std::chrono::milliseconds{limit_ms});
        stream.async_read_some(
            net::buffer(part),
            [&](transport::error_code ended, std::size_t got)
            {
                received.append(part.data(), got);
                if (!ended)
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
    auto what = call_of(std::move(method), std::move(target), std::move(headers), std::move(body));
    state::endpoint to{"127.0.0.1", port};
    auto opened = run(*io_, client_->open(std::move(to), std::move(what), stream_limit));
    if (!opened)
        return;
    status_ = opened.value().status();
    stream_.emplace(std::move(opened.value()));
}

void streamed_answer::read_tokens(std::size_t count)
{
    while (stream_ && tokens_ < count && !finished_)
    {
        auto const part = run(*io_, stream_->read(stream_limit));
        if (!part || part.value().empty())
        {
            stream_.reset();
            return;
        }
        take(std::string{part.value()});
    }
}

void streamed_answer::take(std::string const& bytes)
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
