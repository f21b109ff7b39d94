#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/scripted_server.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace auburnweir::tests
{
namespace
{

using std::chrono::milliseconds;

/// Responses as their callers saw them.
struct outcomes
{
    std::atomic<int> whole{0};
    std::atomic<int> short_but_complete{0};
    std::atomic<int> broken_off{0};

    void print(std::string const& what) const
    {
        std::cout << what << ": " << whole << " whole, " << short_but_complete
                  << " short but complete, " << broken_off << " broken off\n";
    }
};

constexpr int events = 10; ///< as servers send until they are told otherwise

std::string stream_of(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
        text +=
            "id: " + std::to_string(number) + "\ndata: token-" + std::to_string(number) + "\n\n";
    return text;
}

/// A gateway before servers that end their responses in unusual ways while their callers read.
class gateway_early_end_test : public testing::Test
{
protected:
    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan p;
        p.route_timeout_ms = 8000;
        p.settings["stop_grace_s"] = "0.6"; // ends 200 ms after the signal
        return p;
    }

    void control_all(json const& behaviour)
    {
        for (int i = 0; i < 2; ++i)
            gateway_deployment::control(system.backend(i), behaviour);
    }

    void send_stream(std::string const& path, std::string const& id)
    {
        streamed_answer answer(
            system.port(), "POST", path + id,
            {{"Host", "calls.test"},
             {"Auburnweir-Attempt-Id", id},
             {"Auburnweir-Deadline-Ms", "8000"}},
            "order");
        answer.read_to_end();
        if (answer.status() != 200 || !answer.is_complete())
            ++seen.broken_off;
        else if (answer.body() == stream_of(1, events))
            ++seen.whole;
        else
            ++seen.short_but_complete;
    }

    void send_streams(std::string const& path, int count, std::string const& prefix = "s")
    {
        std::vector<std::thread> callers;
        for (int i = 0; i < count; ++i)
            callers.emplace_back([this, path, id = prefix + std::to_string(i)]
                                 { send_stream(path, id); });
        for (auto& caller : callers)
            caller.join();
    }

    /// Sends streams and calls `disturb` in their middle.
    void send_streams_and(std::function<void()> const& disturb, std::string const& path)
    {
        std::thread load([&] { send_streams(path, 16); });
        std::this_thread::sleep_for(milliseconds{150});
        disturb();
        load.join();
    }

    gateway_deployment system{plan()};
    outcomes seen;
};

class gateway_framed_end_test : public gateway_early_end_test,
                                public testing::WithParamInterface<char const*>
{
};

// Guards against ORDER: streams of a gateway whose grace ends in the middle, with a last chunk.
TEST_P(gateway_framed_end_test, stream_of_gateway_stopped_in_the_middle_looks_incomplete)
{
    control_all({{"framing", GetParam()}, {"event_ms", 60}});
    send_streams_and([&] { system.gateway(0).signal(SIGTERM); }, "/flow/stream/");
    seen.print("SIGTERM at the gateway");
    EXPECT_EQ(seen.short_but_complete, 0);
    EXPECT_GT(seen.broken_off, 0);
}

// Guards against ORDER: streams that a reload of the settings ends.
TEST_P(gateway_framed_end_test, stream_during_reload_is_whole)
{
    control_all({{"framing", GetParam()}, {"event_ms", 60}});
    send_streams_and([&] { system.gateway(0).signal(SIGHUP); }, "/flow/stream/");
    seen.print("SIGHUP at the gateway");
    EXPECT_EQ(seen.whole, 16);
}

// Guards against ORDER: streams of a server that stops on a signal, passed on as complete.
TEST_P(gateway_framed_end_test, stream_of_server_stopped_in_the_middle_looks_incomplete)
{
    control_all({{"framing", GetParam()}, {"event_ms", 60}});
    auto const stop_all = [&]
    {
        for (int i = 0; i < 2; ++i)
            system.backend(i).signal(SIGTERM);
    };
    send_streams_and(stop_all, "/flow/stream/");
    seen.print("SIGTERM at the servers");
    EXPECT_EQ(seen.short_but_complete, 0);
}

// Guards against LOST: streams of a server that pauses for less than a stall, broken off.
TEST_P(gateway_framed_end_test, stream_of_server_paused_in_the_middle_is_whole)
{
    for (int const pause_ms : {300, 900, 3000})
    {
        control_all({{"framing", GetParam()}, {"event_ms", 60}});
        auto const pause = [&]
        {
            for (int i = 0; i < 2; ++i)
                system.backend(i).signal(SIGSTOP);
            std::this_thread::sleep_for(milliseconds{pause_ms});
            for (int i = 0; i < 2; ++i)
                system.backend(i).signal(SIGCONT);
        };
        send_streams_and(pause, "/flow/stream/");
        seen.print("SIGSTOP for " + std::to_string(pause_ms) + " ms");
        EXPECT_EQ(seen.short_but_complete, 0);
    }
    EXPECT_EQ(seen.broken_off, 0);
}

INSTANTIATE_TEST_SUITE_P(
    framings, gateway_framed_end_test, testing::Values("connection", "chunks", "length"),
    [](auto const& info) { return std::string{info.param}; });

// Guards against LOST: whole requests of callers that shut their sending side down after them.
TEST_F(gateway_early_end_test, request_of_caller_that_shuts_its_sending_side_down_is_answered)
{
    for (int i = 0; i < 20; ++i)
    {
        net::io_context io(1);
        transport::tcp::socket socket(io);
        socket.connect({net::ip::address_v4::loopback(), system.port()});
        auto const id = "h" + std::to_string(i);
        std::string const path = i % 2 == 0 ? "/flow/stream/" : "/once/";
        std::string const request = "POST " + path +
                                    "x HTTP/1.1\r\nHost: calls.test\r\n"
                                    "Auburnweir-Attempt-Id: " +
                                    id +
                                    "\r\nAuburnweir-Deadline-Ms: 3000\r\n"
                                    "Content-Length: 5\r\n\r\norder";
        net::write(socket, net::buffer(request));
        socket.shutdown(transport::tcp::socket::shutdown_send);
        std::string answer;
        transport::error_code error;
        net::read(socket, net::dynamic_buffer(answer), error);
        bool const is_whole = answer.find("token-10\n\n\r\n0\r\n\r\n") != std::string::npos ||
                              answer.find("\"echo\":\"order\"") != std::string::npos;
        bool const looks_complete = answer.find("\r\n0\r\n\r\n") != std::string::npos;
        if (is_whole)
            ++seen.whole;
        else
            ++(looks_complete ? seen.short_but_complete : seen.broken_off);
    }
    seen.print("half-closed callers");
    EXPECT_EQ(seen.short_but_complete, 0);
}

/// What a resumed run meets that answers with a last chunk and no events.
enum class resumed_at
{
    ready_server,
    leaving_server,
    server_with_other_id
};

class gateway_empty_resumption_test : public gateway_early_end_test,
                                      public testing::WithParamInterface<resumed_at>
{
protected:
    void prepare_second_server()
    {
        if (GetParam() == resumed_at::server_with_other_id)
        {
            system.backend(1).kill();
            system.start_backend(1, "other", 0);
        }
        gateway_deployment::control(
            system.backend(1), {{"resumes_without_events", true}, {"accepts_any_id", true}});
        if (GetParam() == resumed_at::leaving_server)
            gateway_deployment::control(
                system.backend(1), {{"statements", {{"Server-Leaving", "1"}}}});
    }
};

// Guards against ORDER: a resumed run without events, taken for the rest of the stream.
TEST_P(gateway_empty_resumption_test, stream_of_which_events_are_missing_looks_incomplete)
{
    gateway_deployment::control(system.backend(0), {{"cut_after", 4}});
    prepare_second_server();
    for (int i = 0; i < 20; ++i)
        send_stream("/stream/", "e" + std::to_string(i));
    seen.print("resumed without events");
    EXPECT_EQ(seen.short_but_complete, 0);
}

INSTANTIATE_TEST_SUITE_P(
    servers, gateway_empty_resumption_test,
    testing::Values(
        resumed_at::ready_server, resumed_at::leaving_server, resumed_at::server_with_other_id),
    [](auto const& info)
    {
        switch (info.param)
        {
        case resumed_at::ready_server:
            return std::string{"ready_server"};
        case resumed_at::leaving_server:
            return std::string{"leaving_server"};
        case resumed_at::server_with_other_id:
            break;
        }
        return std::string{"server_with_other_id"};
    });

/// How a server ends a response of which all bytes were sent, or half of them.
enum class end_kind
{
    closes,
    shuts_sending_side_down, ///< and reads on
    resets,                  ///< after all was read
    stops_listening          ///< before the end, and then closes
};

struct own_end_case
{
    end_kind end;
    bool is_chunked;
    bool is_whole; ///< else half of the events are sent, without a last chunk
};

std::string name_of(own_end_case const& which)
{
    std::string const ends[] = {"closed", "half_closed", "reset", "not_listening"};
    return ends[static_cast<int>(which.end)] + (which.is_chunked ? "_chunks" : "_connection") +
           (which.is_whole ? "_whole" : "_half");
}

/// A server with a thread for each connection, in the test's process.
class scripted_backend
{
public:
    static constexpr char const* id = "backend-9";
    static constexpr std::int64_t born = 7000;

    explicit scripted_backend(own_end_case how)
        : how_(how)
        , acceptor_(io_, {net::ip::address_v4::loopback(), 0})
        , port_(acceptor_.local_endpoint().port())
        , accepting_([this] { accept(); })
    {
    }

    ~scripted_backend()
    {
        stop_listening();
        accepting_.join();
        std::vector<std::thread> threads;
        {
            std::lock_guard lock(mutex_);
            stopping_ = true;
            for (auto const handle : handles_)
                ::shutdown(handle, SHUT_RDWR);
            threads = std::move(threads_);
        }
        for (auto& t : threads)
            t.join();
    }

    std::uint16_t port() const { return port_; }

private:
    void accept()
    {
        for (;;)
        {
            auto socket = std::make_shared<tcp::socket>(io_);
            boost::system::error_code error;
            acceptor_.accept(*socket, error);
            if (error || closed_)
                return;
            std::lock_guard lock(mutex_);
            threads_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void stop_listening()
    {
        if (closed_.exchange(true))
            return;
        // Unblocks `accept`.
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    }

    static std::string value_of(std::string const& header, std::string const& name)
    {
        auto const at = header.find(name + ": ");
        if (at == std::string::npos)
            return "";
        auto const begin = at + name.size() + 2;
        return header.substr(begin, header.find("\r\n", begin) - begin);
    }

    void serve(tcp::socket& socket)
    {
        {
            std::lock_guard lock(mutex_);
            if (stopping_)
                return;
            handles_.insert(socket.native_handle());
        }
        std::string received;
        for (;;)
        {
            boost::system::error_code error;
            auto const size =
                net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\n", error);
            if (error)
                break;
            auto const header = received.substr(0, size);
            received.erase(0, size);
            auto const length = value_of(header, "Content-Length");
            std::size_t const body = length.empty() ? 0 : std::stoul(length);
            if (received.size() < body)
                net::read(
                    socket, net::dynamic_buffer(received),
                    net::transfer_exactly(body - received.size()), error);
            received.erase(0, body);
            if (header.find(" /flow/stream/") == std::string::npos)
                send_report(socket, header);
            else if (!send_stream(socket, header))
                break;
        }
        std::lock_guard lock(mutex_);
        handles_.erase(socket.native_handle());
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    static void send(tcp::socket& socket, std::string const& text)
    {
        boost::system::error_code ignored;
        net::write(socket, net::buffer(text), ignored);
    }

    static void send_report(tcp::socket& socket, std::string const& header)
    {
        auto const body = "{\"born\":" + std::to_string(born) + "}";
        send(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nAuburnweir-Instance-Id: " +
                std::string{id} +
                "\r\nAuburnweir-Attempt-Id: " + value_of(header, "Auburnweir-Attempt-Id") +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    static std::string chunk_of(std::string const& text)
    {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx", text.size());
        return size.data() + ("\r\n" + text + "\r\n");
    }

    /// @return whether the connection may be used again
    bool send_stream(tcp::socket& socket, std::string const& header)
    {
        auto const attempt = value_of(header, "Auburnweir-Attempt-Id");
        send(
            socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Auburnweir-Attempt-Id: " +
                        attempt + "\r\nAuburnweir-Instance-Stamp: " + id + "." + attempt + "\r\n" +
                        (how_.is_chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                         : "Connection: close\r\n\r\n"));
        for (int number = 1; number <= (how_.is_whole ? events : events / 2); ++number)
        {
            auto const text = stream_of(number, number);
            send(socket, how_.is_chunked ? chunk_of(text) : text);
            std::this_thread::sleep_for(milliseconds{10});
            if (number == 4 && how_.end == end_kind::stops_listening)
                stop_listening();
        }
        if (how_.is_chunked && how_.is_whole)
            send(socket, "0\r\n\r\n");
        boost::system::error_code ignored;
        if (how_.end == end_kind::shuts_sending_side_down)
        {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            return true;
        }
        if (how_.end == end_kind::resets)
            socket.set_option(net::socket_base::linger(true, 0), ignored);
        return false;
    }

    own_end_case how_;
    net::io_context io_;
    tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::atomic<bool> closed_{false};
    std::mutex mutex_; ///< of the members below
    bool stopping_ = false;
    std::set<int> handles_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

class gateway_own_end_test : public gateway_early_end_test,
                             public testing::WithParamInterface<own_end_case>
{
protected:
    gateway_own_end_test()
    {
        for (int i = 0; i < 2; ++i)
            system.remove_backend(i);
        system.write_backend_row(
            scripted_backend::id, 0,
            {{"address", "127.0.0.1:" + std::to_string(backend.port())},
             {"born", scripted_backend::born}});
        std::this_thread::sleep_for(milliseconds{1500});
    }

    scripted_backend backend{GetParam()};
};

// Guards against ORDER and LOST: ends by which a running server's response looks other than it is.
TEST_P(gateway_own_end_test, stream_is_whole_or_looks_incomplete)
{
    send_streams("/flow/stream/", 16);
    seen.print(name_of(GetParam()));
    bool const may_be_lost = GetParam().end == end_kind::resets;
    if (GetParam().is_whole && !may_be_lost)
    {
        EXPECT_EQ(seen.whole, 16);
    }
    if (GetParam().is_chunked || may_be_lost)
    {
        EXPECT_EQ(seen.short_but_complete, 0);
    }
}

INSTANTIATE_TEST_SUITE_P(
    ends, gateway_own_end_test,
    testing::Values(
        own_end_case{end_kind::closes, false, true}, own_end_case{end_kind::closes, false, false},
        own_end_case{end_kind::shuts_sending_side_down, false, true},
        own_end_case{end_kind::shuts_sending_side_down, false, false},
        own_end_case{end_kind::shuts_sending_side_down, true, true},
        own_end_case{end_kind::shuts_sending_side_down, true, false},
        own_end_case{end_kind::resets, false, true}, own_end_case{end_kind::resets, true, true},
        own_end_case{end_kind::resets, true, false},
        own_end_case{end_kind::stops_listening, false, true},
        own_end_case{end_kind::stops_listening, true, true}),
    [](auto const& info) { return name_of(info.param); });

} // namespace
} // namespace auburnweir::tests
