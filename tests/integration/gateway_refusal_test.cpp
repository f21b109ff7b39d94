#include "support/gateway_deployment.hpp"
#include "support/temporary_file.hpp"

#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace auburnweir::tests
{
namespace
{

constexpr std::string_view unnamed_refusal = "HTTP/1.1 503 Busy\r\nAuburnweir-Not-Executed: 1\r\n"
                                             "Content-Length: 0\r\n\r\n";

/// `{id}` is that of the earlier request on the connection.
constexpr std::string_view named_misdirection =
    "HTTP/1.1 421 Misdirected Request\r\nAuburnweir-Not-Executed: 1\r\n"
    "Auburnweir-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n";

/// Real processes whose backend servers send a copy of an earlier refusal ahead of the answers to
/// requests on connections in use again.
class gateway_refusal_test : public testing::Test
{
protected:
    explicit gateway_refusal_test(int backends = 2)
        : backends_(backends)
    {
    }

    static gateway_deployment_plan plan(int backends, std::string const& logs)
    {
        gateway_deployment_plan result;
        result.backends = backends;
        result.log_folder = logs;
        return result;
    }

    void control(json const& body)
    {
        for (int i = 0; i < backends_; ++i)
            gateway_deployment::control(system.backend(i), body);
    }

    /// Sends requests one after the other, so that they use kept connections.
    void send_requests(std::string const& path, std::string const& prefix, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            auto const id = prefix + std::to_string(i);
            check_outcome(id, system.send_request(path, id));
        }
    }

    /// Makes the gateway keep some `count` connections, by as many requests at the same time.
    void keep_connections(int count)
    {
        control({{"delay_ms", 200}});
        std::vector<std::future<void>> pending;
        for (int i = 0; i < count; ++i)
            pending.push_back(std::async(
                std::launch::async,
                [this, i] { system.send_request("/once/x", "k" + std::to_string(i)); }));
        for (auto& p : pending)
            p.get();
        control({{"delay_ms", 0}});
    }

    /// Checks that the request ran at most once, and not at all if the response promises so.
    void check_outcome(std::string const& id, received_response const& response)
    {
        auto const runs = system.run_count(id);
        EXPECT_LE(runs, 1) << id << ": TWICE";
        bool const promises = response.status == 503;
        EXPECT_TRUE(!promises || runs == 0) << id << ": REFUSED";
        answered_ += response.status == 200 ? 1 : 0;
    }

    /// Lines of the gateway's log with this event.
    std::vector<json> logged(std::string const& event) const
    {
        std::vector<json> found;
        std::ifstream lines(logs_.path() + "/gateway-1.log");
        for (std::string line; std::getline(lines, line);)
            if (line.find("\"" + event + "\"") != std::string::npos)
                found.push_back(json::parse(line));
        return found;
    }

    int answered() const { return answered_; }

private:
    int backends_;
    int answered_ = 0;
    temporary_folder logs_;

protected:
    gateway_deployment system{plan(backends_, logs_.path())};
};

TEST_F(gateway_refusal_test, log_of_refused_attempt_names_its_connection_and_response)
{
    control({{"not_run", true}, {"names_refusals", true}});
    EXPECT_EQ(system.send_request("/once/x", "n0").status, 503);
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    auto const lines = logged("attempt_failed");
    ASSERT_FALSE(lines.empty());
    EXPECT_EQ(lines.front()["request"], "n0");
    EXPECT_EQ(lines.front()["connection_request"], "1");
    EXPECT_NE(lines.front()["connection"], "0");
    EXPECT_EQ(lines.front()["status"], "503");
    EXPECT_EQ(lines.front()["named"], "this");
}

// Guards against REFUSED and TWICE: an unnamed copy of a refusal after a response with a name.
TEST_F(gateway_refusal_test, unnamed_refusal_on_kept_connection_is_not_the_next_requests)
{
    control({{"late_response", unnamed_refusal}});
    for (auto const* path : {"/once/x", "/flow/stream/x"})
        send_requests(path, std::string{path[1]}, 10);
    EXPECT_EQ(answered(), 20);
}

// Guards against REFUSED and TWICE: as above, where the responses before were refusals.
TEST_F(gateway_refusal_test, unnamed_copy_of_named_refusal_is_not_the_next_requests)
{
    control({{"not_run", true}, {"names_refusals", true}});
    send_requests("/once/x", "r", 4);
    control({{"not_run", false}, {"late_response", unnamed_refusal}});
    send_requests("/once/x", "s", 10);
    EXPECT_EQ(answered(), 10);
}

// Guards against waits: servers that name none of their refusals, on connections in use again.
TEST_F(gateway_refusal_test, requests_that_servers_refuse_without_names_are_refused_at_once)
{
    // One wait a server, until its first refusal without a name is known.
    constexpr int max_waits = 2;
    constexpr int requests = 8;
    keep_connections(16);
    control({{"not_run", true}});
    int refused = 0;
    for (int i = 0; i < requests; ++i)
    {
        header_list const headers{{"Auburnweir-Deadline-Ms", "800"}};
        auto const response = system.send_request("/once/x", "w" + std::to_string(i), headers);
        refused += response.status == 503 ? 1 : 0;
    }
    EXPECT_GE(refused, requests - max_waits);
}

// Guards against waits: as above, where requests may run again.
TEST_F(gateway_refusal_test, idempotent_requests_do_not_wait_after_unnamed_refusals)
{
    send_requests("/safe/x", "i", 8);
    gateway_deployment::control(system.backend(0), {{"not_run", true}});
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(system.send_request("/safe/x", "j" + std::to_string(i)).status, 200);
}

// Guards against REFUSED and TWICE: a copy without an end that the true answer completes.
TEST_F(gateway_refusal_test, header_completed_by_the_next_answer_is_no_refusal)
{
    for (std::string const cut :
         {"HTTP/1.1 503 Busy\r\nAuburnweir-Not-Executed: 1\r\nAuburnweir-Instance-Load: 1,",
          "HTTP/1.1 421 Misdir", "HTTP/1.1 503 Busy\r\nAuburnweir-Not-Executed: "})
    {
        control({{"late_response", cut}});
        send_requests("/once/x", "c" + std::to_string(cut.size()) + "-", 10);
    }
}

/// One server under two ids, as when it was replaced at its address a moment ago.
class gateway_replaced_server_test : public gateway_refusal_test
{
protected:
    gateway_replaced_server_test()
        : gateway_refusal_test(1)
    {
        json const entry{{"service", "desk"},
                         {"address", "127.0.0.1:" + std::to_string(system.backend(0).port())},
                         {"zone", "domain-1"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"sequence", 1},
                         {"born", 900}};
        json const row{{"table", "servers"}, {"key", "replaced"}, {"value", entry.dump()}};
        gateway_deployment::control(system.store(), {{"put", json::array({row})}});
        std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    }

    /// Longer than a server that refused a request is avoided.
    static constexpr std::chrono::milliseconds pause{350};
};

// Guards against REFUSED: a named copy of the refusal of an earlier attempt of the same request.
TEST_F(gateway_replaced_server_test, refusal_of_earlier_attempt_is_not_the_next_attempts)
{
    control({{"names_refusals", true}, {"late_response", named_misdirection}});
    for (int i = 0; i < 10; ++i)
    {
        send_requests("/once/x", "t" + std::to_string(i), 1);
        std::this_thread::sleep_for(pause);
    }
    EXPECT_EQ(answered(), 10);
    EXPECT_GT(
        system.counter(0, "auburnweir_retries_total{reason=\"other_backend_at_address\"}"), 0);
}

} // namespace
} // namespace auburnweir::tests
