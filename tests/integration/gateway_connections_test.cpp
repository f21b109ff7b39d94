#include "coordination/descriptor_shares.hpp"
#include "support/deployment.hpp"
#include "support/gateway_deployment.hpp"

#include <fmt/format.h>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <set>
#include <sstream>
#include <sys/resource.h>

namespace auburnweir::tests
{
namespace net = transport::net;

namespace
{

/// Connections of a gateway to backend servers that are replaced.
class gateway_connections_test : public testing::Test
{
protected:
    static constexpr int requests = 40;

    /// Keeps requests that are sent together in progress until the last one has been sent, so that
    /// none uses the connection of another.
    static constexpr std::chrono::milliseconds response_delay{1000};

    /// Connections that are open without any to a backend server.
    static constexpr int other_connections = 4;

    void send_together()
    {
        std::vector<std::future<int>> pending;
        for (int i = 0; i < requests; ++i)
            pending.push_back(std::async(
                std::launch::async, [this, id = "r" + std::to_string(++sent_)]
                { return system.send_request("/once/x", id).status; }));
        for (auto& p : pending)
            EXPECT_EQ(p.get(), 200);
    }

    int descriptors() { return system.gateway(0).descriptors(); }

    /// Established connections to the backend servers.
    int server_connections()
    {
        constexpr std::string_view established = "01";
        std::set<std::string> ports;
        for (int i = 0; i < 2; ++i)
            ports.insert(fmt::format("{:04X}", system.backend(i).port()));
        std::ifstream table("/proc/net/tcp");
        int count = 0;
        for (std::string line; std::getline(table, line);)
        {
            std::istringstream fields(line);
            std::string slot;
            std::string local;
            std::string remote;
            std::string state;
            fields >> slot >> local >> remote >> state;
            auto const port = remote.substr(remote.find(':') + 1);
            count += state == established && ports.count(port) > 0 ? 1 : 0;
        }
        return count;
    }

    bool are_closed() { return descriptors() <= at_start_ + other_connections; }

    void SetUp() override
    {
        at_start_ = descriptors();
        for (int i = 0; i < 2; ++i)
            gateway_deployment::control(system.backend(i), {{"delay_ms", response_delay.count()}});
    }

    gateway_deployment system{gateway_deployment_plan{}};
    int at_start_ = 0;
    int sent_ = 0;
};

// Guards against CONFIG: connections to servers that have left use up the descriptors, and the
// gateway answers nobody any more.
TEST_F(gateway_connections_test, idle_connections_to_servers_that_left_are_closed)
{
    send_together();
    ASSERT_GT(descriptors(), at_start_ + requests / 2);
    system.remove_backend(0);
    system.remove_backend(1);
    EXPECT_TRUE(eventually([&] { return are_closed(); })) << descriptors() << " of " << at_start_;
    EXPECT_GE(system.counter(0, "auburnweir_idle_connections_to_gone_servers_total"), requests / 2);
}

TEST_F(gateway_connections_test, idle_connections_that_servers_have_ended_are_closed)
{
    send_together();
    ASSERT_GT(descriptors(), at_start_ + requests / 2);
    system.backend(0).kill();
    system.backend(1).kill();
    EXPECT_TRUE(eventually([&] { return are_closed(); })) << descriptors() << " of " << at_start_;
    EXPECT_GE(system.counter(0, "auburnweir_idle_connections_ended_total"), requests / 2);
}

TEST_F(gateway_connections_test, idle_connections_to_servers_that_stay_are_used_again)
{
    send_together();
    auto const open = server_connections();
    ASSERT_GT(open, requests / 2);
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    EXPECT_GE(server_connections(), open);
}

/// A gateway that may open few descriptors.
class gateway_descriptors_test : public testing::Test
{
protected:
    static constexpr rlim_t descriptor_limit = 400;
    static constexpr std::size_t callers =
        coordination::share_descriptors(descriptor_limit).callers;

    /// Limits the descriptors of the processes that are started meanwhile.
    class limited_descriptors
    {
    public:
        limited_descriptors()
        {
            ::getrlimit(RLIMIT_NOFILE, &before_);
            auto limit = before_;
            limit.rlim_cur = descriptor_limit;
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ~limited_descriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

        limited_descriptors(limited_descriptors const&) = delete;
        limited_descriptors& operator=(limited_descriptors const&) = delete;

    private:
        rlimit before_{};
    };

    static std::unique_ptr<gateway_deployment> start()
    {
        limited_descriptors const limited;
        return std::make_unique<gateway_deployment>(gateway_deployment_plan{});
    }

    /// Opens connections of callers that send nothing.
    std::vector<net::ip::tcp::socket> connect(std::size_t count)
    {
        std::vector<net::ip::tcp::socket> opened;
        for (std::size_t i = 0; i < count; ++i)
        {
            opened.emplace_back(io);
            opened.back().connect({net::ip::address_v4::loopback(), system->port()});
        }
        return opened;
    }

    net::io_context io;
    std::unique_ptr<gateway_deployment> system = start();
};

// Guards against CONFIG: callers' connections use up the descriptors, and neither requests nor
// probes are answered.
TEST_F(gateway_descriptors_test, requests_beyond_the_callers_share_are_refused_and_probes_answered)
{
    auto opened = connect(callers + 10);
    auto const refused = system->send_request("/once/x", "r1");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.run_outcome(), "not_run");
    EXPECT_TRUE(system->ready(0));
    EXPECT_EQ(system->counter(0, "auburnweir_refusals_total{reason=\"connections_exhausted\"}"), 1);
    opened.clear();
    EXPECT_TRUE(eventually([&] { return system->send_request("/once/x", "r2").status == 200; }));
}

TEST_F(gateway_descriptors_test, requests_within_the_callers_share_are_answered)
{
    auto const opened = connect(callers - 10);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(system->send_request("/once/x", "r" + std::to_string(i)).status, 200);
}

} // namespace
} // namespace auburnweir::tests
