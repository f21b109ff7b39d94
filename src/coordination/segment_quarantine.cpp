#include "coordination/segment_quarantine.hpp"

#include <algorithm>
#include <xxhash.h>

namespace auburnweir::coordination
{

namespace
{

using state::segment_hash;
using state::server_process_hash;
using state::time_point;

/// Segments that the observations in a report name.
constexpr std::size_t max_segments_per_report = 8192;

/// The same for observations that wait for their report or its acknowledgement.
constexpr std::size_t max_outgoing_segments = 65536;
constexpr std::size_t max_outgoing_answers = 1024;
constexpr std::size_t max_answers_per_report = 256;
constexpr std::size_t max_suspects_per_response = 256;

/// A suspect that only one crash supports is not asked for: most of them are bystanders.
constexpr std::size_t min_crashes_to_ask = 2;

state::suspect_group group_of(crashed_servers const& crashes)
{
    std::vector<std::uint64_t> servers;
    for (auto const& server : crashes)
        servers.push_back(server.count());
    return state::suspect_group{XXH3_64bits(servers.data(), servers.size() * sizeof servers[0])};
}

} // namespace

segment_quarantine::segment_quarantine(quarantine_settings settings)
    : settings_(settings)
    , evidence_(settings.events)
    , verdicts_(settings.quarantine)
    , trials_(settings.trials)
    , outgoing_crashes_(max_outgoing_segments)
    , outgoing_answers_(max_outgoing_answers)
{
}

bool segment_quarantine::record_loss(
    server_process_hash server, state::segment_hashes const& segments, time_point now)
{
    if (segments.empty())
        return false;
    state::ranked_lock lock(mutex_);
    return losses_.record(server, segments, now);
}

bool segment_quarantine::confirm_crash(server_process_hash server, time_point now)
{
    state::ranked_lock lock(mutex_);
    auto const lost = losses_.take(server, now);
    if (!lost)
        return false;
    state::server_crash const crash{server, {lost->segments.begin(), lost->segments.end()}, {}};
    add_crash(crash, lost->at, now);
    outgoing_crashes_.add(crash, lost->at);
    return true;
}

bool segment_quarantine::has_losses(server_process_hash server) const
{
    state::ranked_lock lock(mutex_);
    return losses_.contains(server);
}

void segment_quarantine::dismiss_losses(server_process_hash server)
{
    state::ranked_lock lock(mutex_);
    losses_.remove(server);
}

std::vector<verdict_change> segment_quarantine::record_answer(
    state::forwarded_request const& request, time_point now)
{
    state::ranked_lock lock(mutex_);
    std::vector<verdict_change> changes;
    for (auto const& segment : evidence_hashes(request))
    {
        // Most requests are answered once and never repeated.
        bool const is_plain_request =
            segment == request.fingerprint && !evidence_.find(segment) && !verdicts_.find(segment);
        if (is_plain_request)
        {
            answered_requests_.add(segment, now);
            continue;
        }
        bool const was_quarantined = verdicts_.is_quarantined(segment, now);
        if (auto const change = add_answer(segment, now, now))
            changes.push_back(*change);
        if (!was_quarantined)
            continue;
        queue_answer(segment);
        has_unreported_outcome_ = true;
    }
    return changes;
}

quarantine_decision segment_quarantine::judge(
    state::forwarded_request const& request, time_point now) const
{
    state::ranked_lock lock(mutex_);
    if (verdicts_.empty())
        return not_quarantined{};
    auto const hashes = evidence_hashes(request);
    std::optional<doubtful_request> doubtful;
    for (auto const& match : verdicts_.matches(hashes, now))
    {
        bool const has_all = match.held.size() == match.size;
        if (!has_all && match.finding.crashes < settings_.min_crashes_for_trials)
            continue;
        auto const first = std::ranges::find(hashes, match.held.front()) - hashes.begin();
        bool const is_repeat =
            std::ranges::find(match.held, request.fingerprint) != match.held.end();
        quarantined_segment segment{
            is_repeat ? "" : request.segments[static_cast<std::size_t>(first)].id, match.remaining};
        if (has_all && match.finding.confirmed)
            return segment;
        segment.remaining = std::min(segment.remaining, settings_.retry_delay);
        doubtful = doubtful_request{std::move(segment), match.id, match.held.size()};
    }
    if (doubtful)
        return *doubtful;
    return not_quarantined{};
}

bool segment_quarantine::try_acquire_trial(doubtful_request const& request, time_point now)
{
    state::ranked_lock lock(mutex_);
    state::wanted_trial const trial{request.group, request.held};
    return decides_ ? try_start_trial(trial, now) : trial_grants_.try_use(trial, now);
}

void segment_quarantine::return_trial(doubtful_request const& request, time_point now)
{
    state::ranked_lock lock(mutex_);
    if (decides_)
        trials_.end(request.group);
    else
        trial_grants_.put_back({request.group, request.held}, now);
}

bool segment_quarantine::try_start_trial(state::wanted_trial const& trial, time_point now)
{
    auto const groups = verdicts_.groups(now);
    auto const found = groups.find(trial.group);
    return found != groups.end() && trials_.try_start(found->second, trial.held, now);
}

std::vector<verdict_change> segment_quarantine::decide(time_point now)
{
    state::ranked_lock lock(mutex_);
    decides_ = true;
    remove_expired(now);
    auto changes = update_groups(now);
    std::ranges::copy(release_refuted_groups(now), std::back_inserter(changes));
    std::ranges::copy(quarantine_suspects(now), std::back_inserter(changes));
    return changes;
}

state::segment_observations segment_quarantine::begin_report(
    std::uint64_t sequence, bool all, time_point now)
{
    state::ranked_lock lock(mutex_);
    remove_expired(now);
    state::segment_observations report;
    report.crashes = outgoing_crashes_.collect(sequence, all, max_segments_per_report, now);
    report.answers = outgoing_answers_.collect(sequence, all, max_answers_per_report, now);
    report.digest = verdicts_.digest();
    if (verdicts_requested_)
        report.verdicts = verdicts_.all(now);
    report.wanted_trials = trial_grants_.take_wanted();
    has_unreported_outcome_ = false;
    return report;
}

bool segment_quarantine::report_is_urgent() const
{
    state::ranked_lock lock(mutex_);
    return outgoing_crashes_.has_unsent() || has_unreported_outcome_ || trial_grants_.has_unsent();
}

std::vector<verdict_change> segment_quarantine::merge(
    state::segment_observations const& report, time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& crash : report.crashes)
        add_crash(crash, now - crash.age, now);
    auto changes = merge_verdicts(report.verdicts, now);
    for (auto const& answer : report.answers)
        if (auto const change = add_answer(answer.segment, now - answer.age, now))
            changes.push_back(*change);
    return changes;
}

state::segment_verdicts segment_quarantine::response_to(
    state::segment_observations const& report, time_point now)
{
    state::ranked_lock lock(mutex_);
    state::segment_verdicts response;
    response.suspects = next_suspects();
    response.digest = verdicts_.digest();
    if (response.digest != report.digest)
        response.verdicts = verdicts_.all(now);
    for (auto const& trial : report.wanted_trials)
        if (try_start_trial(trial, now))
            response.granted_trials.push_back(trial);
    return response;
}

state::segment_hashes segment_quarantine::next_suspects()
{
    state::segment_hashes suspects;
    auto const& histories = evidence_.histories();
    auto next = histories.upper_bound(last_suspect_asked_for_);
    for (std::size_t i = 0; i < histories.size(); ++i, ++next)
    {
        if (next == histories.end())
            next = histories.begin();
        if (next->second.crashes.size() < min_crashes_to_ask)
            continue;
        suspects.push_back(next->first);
        if (suspects.size() >= max_suspects_per_response)
            break;
    }
    if (!suspects.empty())
        last_suspect_asked_for_ = suspects.back();
    return suspects;
}

std::vector<verdict_change> segment_quarantine::apply(
    state::segment_verdicts const& response, std::uint64_t sequence, time_point now)
{
    state::ranked_lock lock(mutex_);
    decides_ = false;
    outgoing_crashes_.acknowledge(sequence);
    outgoing_answers_.acknowledge(sequence);
    auto changes = merge_verdicts(response.verdicts, now);
    trial_grants_.add(response.granted_trials, now);
    verdicts_requested_ = response.digest != verdicts_.digest();
    for (auto const& segment : response.suspects)
    {
        recall_answer(segment);
        queue_answer(segment);
    }
    return changes;
}

state::segment_observations segment_quarantine::snapshot(
    std::size_t max_crashes, time_point now) const
{
    state::ranked_lock lock(mutex_);
    auto snapshot = evidence_.summary(max_crashes, now);
    snapshot.verdicts = verdicts_in_force(now);
    return snapshot;
}

snapshot_version segment_quarantine::current_snapshot() const
{
    state::ranked_lock lock(mutex_);
    return {verdicts_.digest(), evidence_.revision()};
}

std::vector<verdict_change> segment_quarantine::restore(
    state::segment_observations const& stored, time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& crash : stored.crashes)
        evidence_.add_crash(crash.server, crash.segments, now - crash.age, now - crash.age);
    for (auto const& answer : stored.answers)
        evidence_.add_answer(answer.segment, now - answer.age);
    return merge_verdicts(stored.verdicts, now);
}

std::size_t segment_quarantine::quarantined_count(time_point now) const
{
    state::ranked_lock lock(mutex_);
    std::size_t count = 0;
    for (auto const& [id, group] : verdicts_.groups(now))
        count += group.segments.size();
    return count;
}

std::vector<state::segment_verdict> segment_quarantine::verdicts(time_point now) const
{
    state::ranked_lock lock(mutex_);
    return verdicts_in_force(now);
}

std::vector<state::segment_verdict> segment_quarantine::verdicts_in_force(time_point now) const
{
    auto all = verdicts_.all(now);
    std::erase_if(all, [&](auto const& v) { return !verdicts_.is_quarantined(v.segment, now); });
    return all;
}

evidence_drops segment_quarantine::drops() const
{
    state::ranked_lock lock(mutex_);
    return {
        losses_.dropped() + outgoing_crashes_.dropped() + outgoing_answers_.dropped() +
            evidence_.dropped() + trial_grants_.dropped() + dropped_groups_,
        answered_requests_.forgotten()};
}

void segment_quarantine::recall_answer(segment_hash fingerprint)
{
    if (auto const answered_at = answered_requests_.find(fingerprint))
        evidence_.add_answer(fingerprint, *answered_at);
}

void segment_quarantine::add_crash(state::server_crash const& crash, time_point at, time_point now)
{
    for (auto const& segment : crash.segments)
        recall_answer(segment);
    evidence_.add_crash(crash.server, crash.segments, at, now);
}

std::optional<verdict_change> segment_quarantine::add_answer(
    segment_hash segment, time_point at, time_point now)
{
    bool const answered_since_crashes = evidence_.add_answer(segment, at);
    if (!verdicts_.is_quarantined(segment, now))
        return std::nullopt;
    if (!answered_since_crashes && at <= verdicts_.decided_at(segment))
        return std::nullopt;
    return released(segment, now);
}

std::vector<verdict_change> segment_quarantine::merge_verdicts(
    std::vector<state::segment_verdict> const& newer, time_point now)
{
    auto changes = verdicts_.merge(newer, now);
    for (auto& change : changes)
        change.crashes = evidence_.crash_count(change.segment);
    return changes;
}

void segment_quarantine::queue_answer(segment_hash segment)
{
    if (auto const answered_at = evidence_.take_unreported_answer(segment))
        outgoing_answers_.add({segment, {}}, *answered_at);
}

std::vector<verdict_change> segment_quarantine::update_groups(time_point now)
{
    std::vector<verdict_change> changes;
    for (auto const& [id, group] : verdicts_.groups(now))
    {
        auto const progress = finder(now).progress_of(group, trials_.started_at(id));
        if (progress.new_crashes == 0 && progress.cleared.empty())
            continue;
        auto finding = group.finding;
        finding.crashes += progress.new_crashes;
        finding.confirmed = finding.confirmed || progress.is_confirmed;
        if (!progress.cleared.empty())
        {
            ++finding.narrowings;
            finding.confirmed = progress.is_confirmed;
        }
        if (progress.trial_failed)
        {
            ++finding.failed_trials;
            trials_.end(id);
        }
        for (auto const& segment : progress.cleared)
            changes.push_back(released(segment, now));
        verdicts_.quarantine(id, progress.remaining, finding, now);
    }
    return changes;
}

std::vector<verdict_change> segment_quarantine::release_refuted_groups(time_point now)
{
    std::vector<verdict_change> changes;
    for (auto const& [id, group] : verdicts_.groups(now))
    {
        if (!finder(now).is_refuted(group))
            continue;
        for (auto const& segment : group.segments)
            changes.push_back(released(segment, now));
    }
    return changes;
}

std::vector<verdict_change> segment_quarantine::quarantine_suspects(time_point now)
{
    std::vector<verdict_change> changes;
    while (auto const suspicion = finder(now).strongest())
    {
        auto const crashes = suspicion->crashes.size();
        state::group_finding finding;
        finding.confirmed = suspicion->confirmed;
        finding.crashes = crashes;
        if (!verdicts_.quarantine(group_of(suspicion->crashes), suspicion->segments, finding, now))
        {
            ++dropped_groups_;
            break;
        }
        for (auto const& segment : suspicion->segments)
            changes.push_back({segment, true, crashes, true});
    }
    return changes;
}

suspect_finder segment_quarantine::finder(time_point now) const
{
    return {settings_.suspicion, evidence_, verdicts_, now};
}

verdict_change segment_quarantine::released(segment_hash segment, time_point now)
{
    verdicts_.release(segment, now);
    return {segment, false, evidence_.crash_count(segment), true};
}

void segment_quarantine::remove_expired(time_point now)
{
    evidence_.remove_expired(now);
    verdicts_.remove_expired(now);
    trials_.keep(verdicts_.groups(now));
    outgoing_crashes_.remove_older_than(now - settings_.events.memory);
    outgoing_answers_.remove_older_than(now - settings_.events.memory);
}

} // namespace auburnweir::coordination
