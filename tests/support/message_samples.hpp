#ifndef AUBURNWEIR_TESTS_MESSAGE_SAMPLES_HPP
#define AUBURNWEIR_TESTS_MESSAGE_SAMPLES_HPP

#include "coordination/duty_lease.hpp"
#include "state/quarantine_record.hpp"
#include "state/report_response.hpp"

/// Messages between gateways, and rows that they write, with a value in each field that the
/// recorded builds know. `record_messages.cpp` is compiled against those builds, so nothing newer
/// is named here.
namespace auburnweir::tests
{

inline state::segment_observations sample_observations()
{
    state::segment_observations o;
    o.crashes = {
        {state::server_process_hash{11},
         {state::segment_hash{12}, state::segment_hash{13}},
         state::duration{1400}}};
    o.answers = {{state::segment_hash{15}, state::duration{1600}}};
    o.digest = state::verdicts_digest{17};
    o.verdicts = {
        {state::segment_hash{18},
         3,
         true,
         state::duration{1900},
         state::suspect_group{20},
         {true, 4, 1, 2}}};
    o.wanted_trials = {{state::suspect_group{20}, 2}};
    return o;
}

inline state::instance_report sample_report()
{
    state::instance_report r;
    r.id = state::instance_id{"gateway-1"};
    r.incarnation = state::incarnation_number{1'700'000'000'001};
    r.failure_domain = state::failure_domain_id{"domain-1"};
    r.peer_address = {"10.0.0.1", 7615};
    r.sequence = 42;
    r.stopping = true;
    r.directory = state::directory_version{7};
    r.directory_holder = state::incarnation_number{1'700'000'000'002};
    r.digest = state::directory_digest{8};
    r.isolated = true;
    r.uses[state::organisation_id{"lanterns"}] = {12.5, 0.25};
    auto& details = r.details.emplace();
    details.wall_offset = std::chrono::milliseconds{-3};
    details.usage_complete_until = std::chrono::milliseconds{1'700'000'000'500};
    details.usage[state::window_number{340'000'000}][state::organisation_id{"lanterns"}] = 9;
    details.requests = 77;
    r.segments = sample_observations();
    r.acknowledged = {state::window_number{339'999'999}, state::configuration_version{21}};
    r.ratings = state::rating_version{5};
    state::server_observation seen;
    seen.id = state::backend_id{"engine-1"};
    seen.incarnation = state::incarnation_number{1000};
    seen.intervals.count = 30;
    seen.intervals.total = state::duration{600'000};
    r.observations = {seen};
    return r;
}

inline state::report_response sample_response()
{
    state::report_response r;
    r.holder = {state::instance_id{"gateway-2"}, state::incarnation_number{1'700'000'000'002}};
    r.sequence = 42;
    r.instance_count = 9;
    r.live_instance_count = 8;
    r.holds_lease = false;
    r.levels[state::organisation_id{"lanterns"}] = 100.5;
    auto& update = r.directory.emplace();
    update.version = state::directory_version{8};
    update.age = state::duration{250'000};
    update.complete = true;
    state::listed_server server;
    server.id = state::backend_id{"engine-1"};
    server.incarnation = state::incarnation_number{1000};
    server.service = state::service_id{"engine"};
    server.address = {"10.1.0.1", 8100};
    server.failure_domain = state::failure_domain_id{"domain-2"};
    server.version = state::version_id{"v2"};
    server.slots = 64;
    server.draining = true;
    server.reclaimable = true;
    server.cold_for = state::duration{2'000'000};
    update.listed = {server};
    update.removed = {state::backend_id{"engine-0"}};
    r.directory_withheld = true;
    auto& rows = r.operator_rows.emplace();
    rows.newest = {state::store_era{2}, state::row_version{900}};
    rows.age = state::duration{150'000};
    rows.acknowledged = {state::window_number{339'999'998}, state::configuration_version{22}};
    r.wall_offset = std::chrono::milliseconds{4};
    r.segments.suspects = {state::segment_hash{12}};
    r.segments.digest = state::verdicts_digest{17};
    r.segments.verdicts = sample_observations().verdicts;
    r.segments.granted_trials = {{state::suspect_group{20}, 2}};
    auto& shares = r.shares.emplace();
    shares.own = 0.125;
    shares.by_domain[state::failure_domain_id{"domain-1"}] = 0.25;
    r.rank = {3, 9};
    auto& evacuated = r.evacuated.emplace();
    evacuated.complete_to = {state::store_era{2}, state::row_version{900}};
    evacuated.domains = {state::failure_domain_id{"domain-3"}};
    state::server_rating rating;
    rating.id = state::backend_id{"engine-1"};
    rating.incarnation = state::incarnation_number{1000};
    rating.event_interval = state::duration{20'000};
    rating.load = 12;
    rating.load_age = state::duration{300'000};
    r.ratings = state::rating_update{state::rating_version{6}, {rating}};
    return r;
}

inline coordination::duty_record sample_duty_record()
{
    coordination::duty_record d;
    d.lease.holder = state::instance_id{"gateway-2"};
    d.lease.fencing = state::fencing_number{8'589'934'600};
    d.lease.until = state::wall_time{std::chrono::milliseconds{1'700'000'003'800}};
    d.holder_address = {"10.0.0.2", 7615};
    d.reported_through = state::window_number{339'999'998};
    state::organisation_id const lanterns{"lanterns"};
    state::instance_incarnation const writer{
        state::instance_id{"gateway-1"}, state::incarnation_number{1'700'000'000'001}};
    d.usage[state::window_number{340'000'000}][writer][lanterns] = 9;
    state::fleet_group group;
    group.service = state::service_id{"engine"};
    group.failure_domain = state::failure_domain_id{"domain-2"};
    group.reclaimable = true;
    d.initial_fleet[group] = 3;
    auto& pending = d.pending.emplace();
    pending.window = state::window_number{339'999'999};
    pending.counts[lanterns] = 70;
    return d;
}

inline state::quarantine_record sample_quarantine_record()
{
    return {state::wall_time{std::chrono::milliseconds{1'700'000'002'000}}, sample_observations()};
}

} // namespace auburnweir::tests

#endif
