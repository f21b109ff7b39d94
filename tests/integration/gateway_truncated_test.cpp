#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"
#include "support/scripted_server.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

/// A gateway before a server whose responses a test scripts.
class gateway_truncated_test : public testing::TestWithParam<char const*>
{
protected:
    static constexpr std::size_t upload_bytes = 4 << 20;
    static constexpr std::string_view part = "a part of the response";

    static gateway_deployment_plan plan()
    {
        gateway_deployment_plan result;
        result.settings["memory_limit_mb"] = "256";
        return result;
    }

    gateway_truncated_test()
    {
        system.configure([](json& c) { c["limits"]["maxBodyBytes"] = 2 * upload_bytes; });
        constexpr int not_found = 404; // The body is accepted, and no route has this path.
        EXPECT_TRUE(eventually([&] { return upload("/none/x", "none").status == not_found; }));
        system.remove_backend(0);
        system.remove_backend(1);
    }

    received_response upload(std::string const& path, std::string const& id)
    {
        header_list const headers{
            {"Host", "calls.test"},
            {"Auburnweir-Attempt-Id", id},
            {"Auburnweir-Deadline-Ms", "3000"}};
        return call(system.port(), "POST", path, headers, std::string(upload_bytes, 'u'));
    }

    /// Header of a response to the request, without what states its body's length.
    static std::string header(std::string const& request, std::string const& status)
    {
        constexpr std::string_view name = "Auburnweir-Attempt-Id: ";
        auto const at = request.find(name) + name.size();
        return std::string{GetParam()} + " " + status +
               " Any\r\nAuburnweir-Instance-Stamp: s\r\nAuburnweir-Attempt-Id: " +
               request.substr(at, request.find('\r', at) - at) + "\r\n";
    }

    /// Answers a question whether the server runs, as sound servers do.
    static bool answer_question(tcp::socket& s, std::string const& request)
    {
        if (!request.starts_with("GET"))
            return false;
        scripted_server::send(
            s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return true;
    }

    /// Answers requests with `respond`.
    scripted_server::script answer_uploads(
        std::function<void(tcp::socket&, std::string const&)> respond)
    {
        return [this, respond](tcp::socket& s)
        {
            auto const request = scripted_server::read_request_header(s);
            answer_question(s, request);
            if (!request.starts_with("POST"))
                return; // A connection without a request shows that the server runs.
            ++uploads_;
            respond(s, request);
        };
    }

    /// Lists a scripted server in the directory, under an id that no failure counts against.
    void add(scripted_server const& server)
    {
        json const entry{
            {"service", "desk"},    {"address", "127.0.0.1:" + std::to_string(server.port())},
            {"zone", "domain-1"},   {"version", "v1"},
            {"slots", 8},           {"state", "ready"},
            {"coldRemainingMs", 0}, {"sequence", 1},
            {"born", 2000}};
        listed_.push_back("scripted-" + std::to_string(++last_id_));
        json const row{{"table", "servers"}, {"key", listed_.back()}, {"value", entry.dump()}};
        gateway_deployment::control(system.store(), {{"put", json::array({row})}});
        EXPECT_TRUE(eventually([&] { return backends_in_use() == listed_; }));
    }

    /// Lists a scripted server alone.
    void list(scripted_server const& server)
    {
        for (auto const& id : listed_)
        {
            json const row{{"table", "servers"}, {"key", id}};
            gateway_deployment::control(system.store(), {{"remove", json::array({row})}});
        }
        listed_.clear();
        add(server);
    }

    /// Ids of the servers that the gateway knows, in their order.
    std::vector<std::string> backends_in_use()
    {
        auto const status = call(system.gateway(0).port("metrics"), "GET", "/status").parsed();
        std::vector<std::string> ids;
        for (auto const& backend : status["backends"])
            ids.push_back(backend.value("id", std::string{}));
        std::ranges::sort(ids);
        return ids;
    }

    gateway_deployment system{plan()};
    std::atomic<int> uploads_{0}; ///< that reached the scripted server
    std::vector<std::string> listed_;
    int last_id_ = 1000; ///< so that the order of the ids is that of their numbers
};

// Guards against a part of a response passed on as complete: the writer of the upload gets the
// error of the reset, and the reader of the response an end of file.
TEST_P(gateway_truncated_test, response_without_length_reset_during_upload_is_not_complete)
{
    for (int const delay_ms : {0, 5, 50})
    {
        scripted_server server(answer_uploads(
            [&](tcp::socket& s, std::string const& request)
            {
                scripted_server::send(
                    s, header(request, "200") + "Content-Type: text/plain\r\n\r\n" +
                           std::string{part});
                std::this_thread::sleep_for(std::chrono::milliseconds{delay_ms});
                scripted_server::reset(s);
            }));
        for (int i = 0; i < 4; ++i)
        {
            auto const id = std::to_string(delay_ms) + "-" + std::to_string(i);
            list(server);
            uploads_ = 0;
            auto const once = upload("/once/x", "o" + id);
            EXPECT_EQ(uploads_, 1) << "must not run twice: " << id;
            list(server);
            auto const safe = upload("/safe/x", "s" + id);
            EXPECT_GT(uploads_, 1) << id;
            for (auto const& response : {once, safe})
            {
                EXPECT_EQ(response.status, 502) << id;
                EXPECT_EQ(response.run_outcome(), "outcome_unknown") << id;
                EXPECT_EQ(response.body.find(part), std::string::npos) << id;
            }
        }
    }
}

// Guards against an attempt with a truncated response that ends the request, though another server
// may answer it.
TEST_P(gateway_truncated_test, idempotent_request_after_truncated_response_is_answered_elsewhere)
{
    scripted_server server(answer_uploads(
        [](tcp::socket& s, std::string const& request)
        {
            scripted_server::send(
                s, header(request, "200") + "Content-Type: text/plain\r\n\r\n" + std::string{part});
            scripted_server::reset(s);
        }));
    scripted_server sound(
        [](tcp::socket& s)
        {
            auto const request = scripted_server::read_request_header(s);
            if (request.empty() || answer_question(s, request))
                return;
            std::string body(request.find("\r\n\r\n") + 4 + upload_bytes - request.size(), '\0');
            boost::system::error_code error;
            net::read(s, net::buffer(body), error);
            scripted_server::send(s, header(request, "200") + "\r\nwhole");
        });
    list(server);
    add(sound);
    for (int i = 0; i < 6; ++i)
    {
        auto const response = upload("/safe/x", "e" + std::to_string(i));
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "whole");
    }
    EXPECT_GT(uploads_, 0);
}

// Guards against a stream that looks complete to its caller, though its server cut it.
TEST_P(gateway_truncated_test, stream_without_length_reset_during_upload_is_not_complete)
{
    scripted_server server(answer_uploads(
        [](tcp::socket& s, std::string const& request)
        {
            scripted_server::send(
                s, header(request, "200") +
                       "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: token-1\n\n");
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            scripted_server::reset(s);
        }));
    list(server);
    for (int i = 0; i < 4; ++i)
    {
        header_list const headers{
            {"Host", "calls.test"},
            {"Auburnweir-Attempt-Id", "f" + std::to_string(i)},
            {"Auburnweir-Deadline-Ms", "3000"}};
        streamed_answer answer(
            system.port(), "POST", "/flow/stream/x", headers, std::string(upload_bytes, 'u'));
        answer.read_to_end();
        EXPECT_FALSE(answer.status() == 200 && answer.is_complete());
    }
    EXPECT_GT(uploads_, 0);
}

// Guards against a status that is none, passed on to the caller.
TEST_P(gateway_truncated_test, response_with_invalid_status_is_not_passed_on)
{
    for (std::string const status : {"000", "099", "600", "999"})
    {
        uploads_ = 0;
        scripted_server server(answer_uploads(
            [&](tcp::socket& s, std::string const& request)
            {
                scripted_server::send(
                    s, header(request, status) + "Content-Length: 0\r\n\r\n" +
                           header(request, "200") +
                           "Connection: close\r\nContent-Length: 4\r\n\r\nsent");
                boost::system::error_code error;
                std::string bytes(1 << 16, '\0');
                while (!error)
                    s.read_some(net::buffer(bytes), error);
            }));
        list(server);
        // Different paths, as each server ends and the same request would be quarantined.
        auto const response = system.send_request("/once/" + status, "i" + status);
        EXPECT_EQ(response.status, 502) << status;
        EXPECT_EQ(response.run_outcome(), "outcome_unknown") << status;
        EXPECT_EQ(uploads_, 1) << status;
    }
}

INSTANTIATE_TEST_SUITE_P(
    versions, gateway_truncated_test, testing::Values("HTTP/1.0", "HTTP/1.1"),
    [](auto const& info)
    { return std::string{info.param}.back() == '0' ? "http_1_0" : "http_1_1"; });

} // namespace
} // namespace auburnweir::tests
