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

constexpr std::size_t max_segments = 4096; ///< with evidence
constexpr std::size_t max_crashes_per_segment = 16;
constexpr std::size_t max_verdicts = 64;
constexpr std::size_t max_answered_requests = 1024; ///< without evidence, the newest
constexpr std::size_t max_servers_with_losses = 256;
constexpr std::size_t max_segments_per_loss = 256;
constexpr std::size_t max_outgoing = 256; ///< observations of each kind
constexpr std::size_t max_observations_per_report = 64;
constexpr std::size_t max_suspects_per_response = 32;

/// Losses at one server within this time belong to one event.
constexpr state::duration loss_grouping_time = std::chrono::seconds{2};

/// A suspect that only one crash supports is not asked for: most of them are bystanders.
constexpr std::size_t min_crashes_to_ask = 2;

template <class Outgoing>
void queue(std::vector<Outgoing>& list, Outgoing observation)
{
    if (list.size() >= max_outgoing)
        list.erase(list.begin());
    list.push_back(std::move(observation));
}

template <class Outgoing, class Out>
void collect(
    std::vector<Outgoing>& list, std::uint64_t sequence, bool all, time_point now, Out& out)
{
    for (auto& o : list)
    {
        if (all)
        {
            o.acknowledged = false;
            o.first_sent_with = 0;
        }
        if (o.acknowledged || out.size() >= max_observations_per_report)
            continue;
        if (o.first_sent_with == 0)
            o.first_sent_with = sequence;
        out.push_back(o.seen);
        out.back().age = now - o.at;
    }
}

template <class Outgoing>
void acknowledge(std::vector<Outgoing>& list, std::uint64_t sequence)
{
    for (auto& o : list)
        if (o.first_sent_with != 0 && o.first_sent_with <= sequence)
            o.acknowledged = true;
}

} // namespace

bool segment_quarantine::record_loss(
    server_process_hash server, state::segment_hashes const& segments, time_point now)
{
    if (segments.empty())
        return false;
    state::ranked_lock lock(mutex_);
    if (losses_.size() >= max_servers_with_losses)
        std::erase_if(
            losses_, [&](auto const& entry) { return now - entry.second.at > loss_grouping_time; });
    if (losses_.size() >= max_servers_with_losses && !losses_.contains(server))
        return false;
    auto& at_server = losses_[server];
    bool const is_new = at_server.segments.empty() || now - at_server.at > loss_grouping_time;
    if (is_new)
        at_server = {{}, now};
    for (auto const& segment : segments)
    {
        auto& known = at_server.segments;
        if (known.size() < max_segments_per_loss &&
            std::ranges::find(known, segment) == known.end())
            known.push_back(segment);
    }
    return is_new;
}

bool segment_quarantine::confirm_crash(server_process_hash server, time_point now)
{
    state::ranked_lock lock(mutex_);
    auto const found = losses_.find(server);
    if (found == losses_.end())
        return false;
    auto const [segments, at] = std::move(found->second);
    losses_.erase(found);
    if (now - at > loss_grouping_time)
        return false;
    for (auto const& segment : segments)
    {
        add_crash(segment, server, at, now);
        queue(outgoing_crashes_, outgoing<state::segment_crash>{{segment, server, {}}, at});
    }
    return true;
}

void segment_quarantine::dismiss_losses(server_process_hash server)
{
    state::ranked_lock lock(mutex_);
    losses_.erase(server);
}

std::vector<verdict_change> segment_quarantine::record_answer(
    state::forwarded_request const& request, time_point now)
{
    state::ranked_lock lock(mutex_);
    std::vector<verdict_change> changes;
    for (auto const& segment : evidence_hashes(request))
    {
        // Most requests are answered once and never repeated.
        bool const is_plain_request = segment == request.fingerprint &&
                                      !evidence_.contains(segment) && !verdicts_.contains(segment);
        if (is_plain_request)
        {
            remember_answered_request(segment, now);
            continue;
        }
        bool const was_quarantined = is_quarantined(segment, now);
        if (auto const change = add_answer(segment, now, now))
            changes.push_back(*change);
        if (was_quarantined)
            queue_answer(segment, evidence_[segment]);
    }
    return changes;
}

std::optional<quarantined_segment> segment_quarantine::find(
    state::forwarded_request const& request, time_point now) const
{
    state::ranked_lock lock(mutex_);
    if (verdicts_.empty())
        return std::nullopt;
    for (std::size_t i = 0; i + 1 < request.segments.size(); ++i)
    {
        auto const segment = hash_of_segment(request.segments[i].id);
        if (is_quarantined(segment, now))
            return quarantined_segment{
                request.segments[i].id, verdicts_.at(segment).at + settings_.quarantine - now};
    }
    if (is_quarantined(request.fingerprint, now))
        return quarantined_segment{
            {}, verdicts_.at(request.fingerprint).at + settings_.quarantine - now};
    return std::nullopt;
}

std::vector<verdict_change> segment_quarantine::decide(time_point now)
{
    state::ranked_lock lock(mutex_);
    remove_expired(now);
    std::vector<verdict_change> changes;
    auto const chosen = most_suspicious(now);
    std::map<server_process_hash, time_point> explained;
    for (auto const& segment : chosen)
    {
        if (verdicts_.size() >= max_verdicts)
            break;
        explained.insert(evidence_[segment].crashes.begin(), evidence_[segment].crashes.end());
        changes.push_back(set_verdict(segment, true, now));
    }
    if (changes.empty())
        return changes;
    for (auto& [segment, e] : evidence_)
        if (!is_quarantined(segment, now))
            std::erase_if(
                e.crashes, [&](auto const& crash) { return explained.contains(crash.first); });
    return changes;
}

state::segment_observations segment_quarantine::begin_report(
    std::uint64_t sequence, bool all, time_point now)
{
    state::ranked_lock lock(mutex_);
    remove_expired(now);
    state::segment_observations report;
    collect(outgoing_crashes_, sequence, all, now, report.crashes);
    collect(outgoing_answers_, sequence, all, now, report.answers);
    report.digest = digest();
    if (verdicts_requested_)
        report.verdicts = all_verdicts(now);
    return report;
}

bool segment_quarantine::report_is_urgent() const
{
    state::ranked_lock lock(mutex_);
    return std::ranges::any_of(
        outgoing_crashes_, [](auto const& o) { return o.first_sent_with == 0; });
}

std::vector<verdict_change> segment_quarantine::merge(
    state::segment_observations const& report, time_point now)
{
    state::ranked_lock lock(mutex_);
    for (auto const& crash : report.crashes)
        add_crash(crash.segment, crash.server, now - crash.age, now);
    auto changes = merge_verdicts(report.verdicts, now);
    for (auto const& answer : report.answers)
        if (auto const change = add_answer(answer.segment, now - answer.age, now))
            changes.push_back(*change);
    return changes;
}

state::segment_verdicts segment_quarantine::response_to(
    state::verdicts_digest known, time_point now)
{
    state::ranked_lock lock(mutex_);
    state::segment_verdicts response;
    for (auto const& [segment, e] : evidence_)
    {
        if (response.suspects.size() >= max_suspects_per_response)
            break;
        if (e.crashes.size() >= min_crashes_to_ask)
            response.suspects.push_back(segment);
    }
    response.digest = digest();
    if (response.digest != known)
        response.verdicts = all_verdicts(now);
    return response;
}

std::vector<verdict_change> segment_quarantine::apply(
    state::segment_verdicts const& response, std::uint64_t sequence, time_point now)
{
    state::ranked_lock lock(mutex_);
    acknowledge(outgoing_crashes_, sequence);
    acknowledge(outgoing_answers_, sequence);
    auto changes = merge_verdicts(response.verdicts, now);
    verdicts_requested_ = response.digest != digest();
    for (auto const& segment : response.suspects)
    {
        recall_answer(segment);
        if (auto const e = evidence_.find(segment); e != evidence_.end())
            queue_answer(segment, e->second);
    }
    return changes;
}

std::size_t segment_quarantine::quarantined_count(time_point now) const
{
    state::ranked_lock lock(mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(
        verdicts_, [&](auto const& entry) { return is_quarantined(entry.first, now); }));
}

std::vector<state::segment_verdict> segment_quarantine::verdicts(time_point now) const
{
    state::ranked_lock lock(mutex_);
    auto all = all_verdicts(now);
    std::erase_if(all, [&](auto const& v) { return !is_quarantined(v.segment, now); });
    return all;
}

void segment_quarantine::remember_answered_request(segment_hash fingerprint, time_point now)
{
    if (!answered_requests_.insert_or_assign(fingerprint, now).second)
        return;
    answered_order_.push_back(fingerprint);
    if (answered_order_.size() <= max_answered_requests)
        return;
    answered_requests_.erase(answered_order_.front());
    answered_order_.pop_front();
}

void segment_quarantine::recall_answer(segment_hash fingerprint)
{
    auto const answered = answered_requests_.find(fingerprint);
    if (answered == answered_requests_.end())
        return;
    auto& answered_at = evidence_of(fingerprint).answered_at;
    answered_at = std::max(answered_at.value_or(answered->second), answered->second);
}

void segment_quarantine::add_crash(
    segment_hash segment, server_process_hash server, time_point at, time_point now)
{
    recall_answer(segment);
    auto& e = evidence_of(segment);
    bool const is_old = (e.answered_at && *e.answered_at >= at) || now - at > settings_.memory;
    if (is_old || e.crashes.size() >= max_crashes_per_segment)
        return;
    if (e.crashes.empty())
        e.suspected_at = now;
    e.crashes.emplace(server, at);
}

std::optional<verdict_change> segment_quarantine::add_answer(
    segment_hash segment, time_point at, time_point now)
{
    auto& e = evidence_of(segment);
    e.answered_at = std::max(e.answered_at.value_or(at), at);
    bool const had_crashes = !e.crashes.empty();
    std::erase_if(e.crashes, [&](auto const& crash) { return crash.second <= at; });
    if (!is_quarantined(segment, now))
        return std::nullopt;
    bool const answered_since_crashes = had_crashes && e.crashes.empty();
    if (!answered_since_crashes && at <= verdicts_.at(segment).at)
        return std::nullopt;
    return set_verdict(segment, false, now);
}

segment_quarantine::evidence& segment_quarantine::evidence_of(segment_hash segment)
{
    auto const found = evidence_.find(segment);
    if (found != evidence_.end())
        return found->second;
    if (evidence_.size() >= max_segments)
        remove_least_useful_evidence();
    return evidence_[segment];
}

void segment_quarantine::remove_least_useful_evidence()
{
    // Suspects first stay; of the others the half with the older answers goes.
    std::vector<time_point> answers;
    for (auto const& [segment, e] : evidence_)
        answers.push_back(e.answered_at.value_or(e.suspected_at));
    auto const middle = answers.begin() + static_cast<std::ptrdiff_t>(answers.size() / 2);
    std::ranges::nth_element(answers, middle);
    auto const oldest_kept = *middle;
    std::erase_if(
        evidence_,
        [&](auto const& entry)
        {
            auto const& e = entry.second;
            return e.crashes.size() < min_crashes_to_ask &&
                   e.answered_at.value_or(e.suspected_at) <= oldest_kept;
        });
    if (evidence_.size() >= max_segments)
        evidence_.erase(evidence_.begin());
}

std::vector<verdict_change> segment_quarantine::merge_verdicts(
    std::vector<state::segment_verdict> const& newer, time_point now)
{
    std::vector<verdict_change> changes;
    for (auto const& v : newer)
    {
        bool const is_known = verdicts_.contains(v.segment);
        bool const is_expired = v.age >= 2 * settings_.quarantine;
        if (is_expired || (!is_known && verdicts_.size() >= max_verdicts))
            continue;
        auto& own = verdicts_[v.segment];
        bool const tie_to_quarantine =
            v.revision == own.revision && v.quarantined && !own.quarantined;
        if (v.revision <= own.revision && !tie_to_quarantine)
            continue;
        bool const was_quarantined = is_known && own.quarantined;
        own = {v.revision, v.quarantined, now - v.age};
        if (was_quarantined != v.quarantined)
            changes.push_back(
                {v.segment, v.quarantined, evidence_[v.segment].crashes.size(), false});
    }
    return changes;
}

std::vector<state::segment_verdict> segment_quarantine::all_verdicts(time_point now) const
{
    std::vector<state::segment_verdict> all;
    all.reserve(verdicts_.size());
    for (auto const& [segment, v] : verdicts_)
        all.push_back({segment, v.revision, v.quarantined, now - v.at});
    return all;
}

void segment_quarantine::queue_answer(segment_hash segment, evidence& e)
{
    if (!e.answered_at || e.reported_answer == e.answered_at)
        return;
    e.reported_answer = e.answered_at;
    queue(outgoing_answers_, outgoing<state::segment_answer>{{segment, {}}, *e.answered_at});
}

std::size_t segment_quarantine::needed_crashes(segment_hash segment, evidence const& e) const
{
    auto const known = verdicts_.find(segment);
    bool const was_quarantined = known != verdicts_.end() && known->second.quarantined;
    if (was_quarantined)
        return 1;
    return e.answered_at ? settings_.min_crashes_after_answers : settings_.min_crashes;
}

std::size_t segment_quarantine::separate_crashes(evidence const& e) const
{
    std::vector<time_point> times;
    for (auto const& [server, at] : e.crashes)
        times.push_back(at);
    std::ranges::sort(times);
    std::size_t count = 0;
    std::optional<time_point> last_counted;
    for (auto const at : times)
    {
        if (last_counted && at - *last_counted < settings_.crash_grouping_time)
            continue;
        last_counted = at;
        ++count;
    }
    return count;
}

std::vector<segment_hash> segment_quarantine::most_suspicious(time_point now) const
{
    std::vector<segment_hash> chosen;
    std::size_t most = 0;
    for (auto const& [segment, e] : evidence_)
    {
        bool const is_settled = now - e.suspected_at >= settings_.settle_time;
        if (is_quarantined(segment, now) || !is_settled || e.crashes.size() < most ||
            separate_crashes(e) < needed_crashes(segment, e))
            continue;
        if (e.crashes.size() > most)
            chosen.clear();
        most = e.crashes.size();
        chosen.push_back(segment);
    }
    return chosen;
}

verdict_change segment_quarantine::set_verdict(
    segment_hash segment, bool quarantined, time_point now)
{
    auto& v = verdicts_[segment];
    v = {v.revision + 1, quarantined, now};
    return {segment, quarantined, evidence_[segment].crashes.size(), true};
}

bool segment_quarantine::is_quarantined(segment_hash segment, time_point now) const
{
    auto const found = verdicts_.find(segment);
    return found != verdicts_.end() && found->second.quarantined &&
           now - found->second.at < settings_.quarantine;
}

state::verdicts_digest segment_quarantine::digest() const
{
    std::uint64_t sum = 0;
    for (auto const& [segment, v] : verdicts_)
    {
        std::uint64_t const values[]{segment.count(), v.revision, v.quarantined ? 1U : 0U};
        sum ^= XXH3_64bits(values, sizeof values);
    }
    return state::verdicts_digest{sum};
}

void segment_quarantine::remove_expired(time_point now)
{
    for (auto& [segment, e] : evidence_)
    {
        std::erase_if(
            e.crashes, [&](auto const& crash) { return now - crash.second > settings_.memory; });
        if (e.answered_at && now - *e.answered_at > settings_.memory)
            e.answered_at.reset();
    }
    std::erase_if(
        evidence_, [](auto const& entry)
        { return entry.second.crashes.empty() && !entry.second.answered_at; });
    // After its end a verdict is kept once as long: a single crash then renews it.
    std::erase_if(
        verdicts_,
        [&](auto const& entry) { return now - entry.second.at >= 2 * settings_.quarantine; });
    auto const is_old = [&](auto const& o) { return now - o.at > settings_.memory; };
    std::erase_if(outgoing_crashes_, is_old);
    std::erase_if(outgoing_answers_, is_old);
}

} // namespace auburnweir::coordination
