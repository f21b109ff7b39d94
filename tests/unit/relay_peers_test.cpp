#include "coordination/relay_assignment.hpp"
#include "coordination/relay_table.hpp"
#include "protocol/peer_message.hpp"
#include "protocol/relay_head.hpp"

#include <gtest/gtest.h>

namespace auburnweir
{
namespace
{

using namespace std::chrono_literals;
using coordination::relay_candidate;

state::relay_peer make_peer(std::string const& id, std::string const& domain)
{
    return {
        state::instance_id{id},
        state::incarnation_number{5},
        state::failure_domain_id{domain},
        {"10.0.0.1", 7600}};
}

/// 360 instances in four failure domains, of which a part reaches the service.
class relay_assignment_test : public testing::Test
{
protected:
    static constexpr int instances = 360;
    static constexpr int domains = 4;

    static std::string domain_of(int index) { return "domain-" + std::to_string(index % domains); }
    static std::string id_of(int index) { return "instance-" + std::to_string(index); }

    /// @param is_cut  whether an instance does not reach the service
    template <class IsCut>
    void set_up(IsCut const& is_cut)
    {
        for (int i = 0; i < instances; ++i)
        {
            relay_candidate c{make_peer(id_of(i), domain_of(i)), {}};
            if (is_cut(i))
                c.unreachable = {service};
            candidates.push_back(std::move(c));
        }
    }

    std::vector<state::relay_peer> assigned_to(int index)
    {
        auto others = candidates;
        others.erase(others.begin() + index);
        return coordination::assign_relays(
                   state::instance_id{id_of(index)}, state::failure_domain_id{domain_of(index)},
                   {service}, others)
            .at(service);
    }

    state::service_id service{"desk"};
    std::vector<relay_candidate> candidates;
};

TEST_F(relay_assignment_test, near_peers_come_first_and_some_are_elsewhere)
{
    set_up([](int i) { return i < 40; });
    auto const peers = assigned_to(0);
    ASSERT_EQ(peers.size(), 4u);
    EXPECT_EQ(peers[0].failure_domain.str(), domain_of(0));
    EXPECT_NE(peers[3].failure_domain.str(), domain_of(0));
}

TEST_F(relay_assignment_test, peers_of_a_domain_that_is_cut_off_as_a_whole_are_elsewhere)
{
    set_up([](int i) { return i % domains == 0; });
    auto const peers = assigned_to(0);
    EXPECT_EQ(peers.size(), 4u);
    for (auto const& peer : peers)
        EXPECT_NE(peer.failure_domain.str(), domain_of(0));
}

// Two thirds of all instances lose their links at once: no instance may have to help them all.
TEST_F(relay_assignment_test, peers_of_many_instances_are_spread)
{
    set_up([](int i) { return i % 3 != 0; });
    std::map<state::instance_id, int> asked;
    for (int i = 0; i < instances; ++i)
        if (i % 3 != 0)
            for (auto const& peer : assigned_to(i))
                ++asked[peer.id];
    // 240 instances ask four peers each, 120 can help: eight on average.
    for (auto const& [id, count] : asked)
        EXPECT_LE(count, 24) << id.str();
    EXPECT_GE(asked.size(), 110u);
}

TEST_F(relay_assignment_test, service_that_no_instance_reaches_has_no_peers)
{
    set_up([](int) { return true; });
    EXPECT_TRUE(assigned_to(0).empty());
}

/// An instance in domain a with two near peers and a far one.
class relay_table_test : public testing::Test
{
protected:
    relay_table_test()
    {
        table.assign(
            {{service,
              {make_peer("near-1", "a"), make_peer("near-2", "a"), make_peer("far", "b")}}});
    }

    std::string choose()
    {
        auto const peer = table.choose(service, now, random);
        return peer ? peer->id.str() : "";
    }

    state::service_id service{"desk"};
    state::time_point now{1000s};
    std::mt19937_64 random{1};
    coordination::relay_table table{state::failure_domain_id{"a"}};
};

TEST_F(relay_table_test, requests_are_spread_over_near_peers_and_then_over_all)
{
    std::map<std::string, int> chosen;
    for (int i = 0; i < 30; ++i)
        ++chosen[choose()];
    EXPECT_NEAR(chosen["near-1"], chosen["near-2"], 1);
    EXPECT_NEAR(chosen["near-1"] - chosen["far"], 3, 1);
}

TEST_F(relay_table_test, peer_with_ended_requests_is_chosen_again)
{
    auto const first = choose();
    EXPECT_NE(choose(), first);
    table.record_end(state::instance_id{first});
    EXPECT_EQ(choose(), first);
}

TEST_F(relay_table_test, peer_that_refused_is_left_out_for_some_time)
{
    for (auto const* id : {"near-1", "near-2", "far"})
    {
        choose();
        table.record_refusal(state::instance_id{id}, now);
    }
    for (int i = 0; i < 5; ++i)
        choose();
    for (auto const* id : {"near-1", "near-2", "far"})
        table.record_refusal(state::instance_id{id}, now);
    EXPECT_EQ(choose(), "");
    now += 600ms;
    EXPECT_NE(choose(), "");
}

TEST_F(relay_table_test, knowledge_of_others_reach_is_told_from_no_knowledge)
{
    using coordination::reach_of_others;
    EXPECT_EQ(table.others_reach(service), reach_of_others::some);
    EXPECT_EQ(table.others_reach(state::service_id{"other"}), reach_of_others::unknown);
    table.assign({{service, {}}});
    EXPECT_EQ(table.others_reach(service), reach_of_others::none);
    table.forget(service);
    EXPECT_EQ(table.others_reach(service), reach_of_others::unknown);
}

/// The head of a request that one instance asks another to relay.
class relay_head_test : public testing::Test
{
protected:
    protocol::relayed_message message() const
    {
        return {"POST",
                "/once/x",
                "attempt-1",
                "body",
                state::instance_id{"helper"},
                state::incarnation_number{9}};
    }

    protocol::relay_head head() const
    {
        return {
            state::instance_id{"asking"}, state::backend_id{"server-1"}, true,
            state::segment_hash{77}};
    }

    std::string const key = "a key of one deployment";
    std::string const text = protocol::encode_relay_head(head(), message(), key);
};

TEST_F(relay_head_test, decoded_head_equals_encoded_one)
{
    auto const decoded = protocol::decode_relay_head(text, message(), key);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->from, head().from);
    EXPECT_EQ(decoded->server, head().server);
    EXPECT_TRUE(decoded->at_most_once);
    EXPECT_EQ(decoded->fingerprint, head().fingerprint);
}

TEST_F(relay_head_test, head_with_other_key_is_refused)
{
    EXPECT_FALSE(protocol::decode_relay_head(text, message(), "another key"));
}

TEST_F(relay_head_test, head_of_another_request_is_refused)
{
    auto other_body = message();
    other_body.body = "other";
    auto other_target = message();
    other_target.target = "/once/y";
    auto other_instance = message();
    other_instance.to = state::instance_id{"another"};
    auto other_life = message();
    other_life.to_incarnation = state::incarnation_number{10};
    for (auto const& other : {other_body, other_target, other_instance, other_life})
        EXPECT_FALSE(protocol::decode_relay_head(text, other, key));
}

TEST_F(relay_head_test, changed_or_malformed_head_is_refused)
{
    auto changed = text;
    changed.replace(changed.find("server-1"), 8, "server-2");
    for (auto const& malformed :
         {changed, std::string{}, std::string{",,,,"}, std::string{"a,b,once,1"},
          std::string{"a,b,twice,1,proof"}, text + ",more"})
        EXPECT_FALSE(protocol::decode_relay_head(malformed, message(), key)) << malformed;
}

/// What reports and their responses say of services that are not reached.
class relay_report_test : public testing::Test
{
protected:
    template <class Message>
    static Message decoded(Message const& message)
    {
        auto const read = protocol::decode_frame(protocol::encode_frame({message}));
        return std::get<Message>(read.value().at(0));
    }
};

TEST_F(relay_report_test, report_carries_relay_port_and_unreachable_services)
{
    state::instance_report report;
    report.id = state::instance_id{"gateway-1"};
    report.relay_port = 7600;
    report.unreachable = {state::service_id{"desk"}, state::service_id{"model"}};
    EXPECT_EQ(decoded(report), report);
}

TEST_F(relay_report_test, response_carries_peers_and_their_absence)
{
    state::report_response response;
    response.relays = {
        {state::service_id{"desk"}, {make_peer("gateway-2", "a")}},
        {state::service_id{"model"}, {}}};
    EXPECT_EQ(decoded(response), response);
}

} // namespace
} // namespace auburnweir
