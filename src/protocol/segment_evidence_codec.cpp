#include "protocol/segment_evidence_codec.hpp"

#include "protocol/element_reader.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_list_length = 8192;
constexpr std::uint64_t max_revision = 1U << 31U;
/// Verdicts are kept for twice the longest quarantine that the settings allow.
constexpr state::duration max_age = std::chrono::hours{24};

json const& read_list(element_reader& in)
{
    auto const& list = in.array();
    require(list.size() <= max_list_length, "list is too long");
    return list;
}

state::duration read_age(element_reader& in)
{
    state::duration const age{in.integer()};
    require(age >= state::duration::zero() && age <= max_age, "age is out of range");
    return age;
}

json encode_segments(state::segment_hashes const& segments)
{
    auto out = json::array();
    for (auto const& segment : segments)
        out.push_back(segment.count());
    return out;
}

state::segment_hashes read_segments(json const& from)
{
    state::segment_hashes segments;
    segments.reserve(from.size());
    for (auto const& e : from)
    {
        require(e.is_number_unsigned(), "element is not an unsigned number");
        segments.emplace_back(e.get<std::uint64_t>());
    }
    return segments;
}

json encode_trials(std::vector<state::wanted_trial> const& trials)
{
    auto out = json::array();
    for (auto const& t : trials)
        out.push_back(json::array({t.group.count(), t.held}));
    return out;
}

std::vector<state::wanted_trial> read_trials(json const& from)
{
    std::vector<state::wanted_trial> trials;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::wanted_trial t;
        t.group = state::suspect_group{in.unsigned_integer()};
        t.held = in.unsigned_integer();
        trials.push_back(t);
    }
    return trials;
}

json encode_verdict_list(std::vector<state::segment_verdict> const& verdicts)
{
    auto out = json::array();
    for (auto const& v : verdicts)
        out.push_back(json::array(
            {v.segment.count(), v.revision, v.quarantined, v.age.count(), v.group.count(),
             v.finding.confirmed, v.finding.crashes, v.finding.narrowings,
             v.finding.failed_trials}));
    return out;
}

std::vector<state::segment_verdict> read_verdict_list(json const& from)
{
    require(from.size() <= max_list_length, "list is too long");
    std::vector<state::segment_verdict> verdicts;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::segment_verdict v;
        v.segment = state::segment_hash{in.unsigned_integer()};
        v.revision = in.unsigned_integer();
        require(v.revision <= max_revision, "revision is too large");
        v.quarantined = in.flag();
        v.age = read_age(in);
        v.group = state::suspect_group{in.unsigned_integer()};
        v.finding.confirmed = in.flag();
        v.finding.crashes = in.unsigned_integer();
        v.finding.narrowings = in.unsigned_integer();
        v.finding.failed_trials = in.unsigned_integer();
        verdicts.push_back(v);
    }
    return verdicts;
}

} // namespace

json encode_observations(state::segment_observations const& observations)
{
    auto crashes = json::array();
    for (auto const& c : observations.crashes)
        crashes.push_back(
            json::array({c.server.count(), c.age.count(), encode_segments(c.segments)}));
    auto answers = json::array();
    for (auto const& s : observations.answers)
        answers.push_back(json::array({s.segment.count(), s.age.count()}));
    return json::array(
        {std::move(crashes), std::move(answers), observations.digest.count(),
         encode_verdict_list(observations.verdicts), encode_trials(observations.wanted_trials)});
}

state::segment_observations read_observations(json const& from)
{
    element_reader in(from);
    state::segment_observations observations;
    for (auto const& e : read_list(in))
    {
        element_reader crash(e);
        state::server_crash c;
        c.server = state::server_process_hash{crash.unsigned_integer()};
        c.age = read_age(crash);
        c.segments = read_segments(read_list(crash));
        observations.crashes.push_back(std::move(c));
    }
    for (auto const& e : read_list(in))
    {
        element_reader answer(e);
        state::segment_answer s;
        s.segment = state::segment_hash{answer.unsigned_integer()};
        s.age = read_age(answer);
        observations.answers.push_back(s);
    }
    observations.digest = state::verdicts_digest{in.unsigned_integer()};
    observations.verdicts = read_verdict_list(in.array());
    observations.wanted_trials = read_trials(read_list(in));
    return observations;
}

json encode_verdicts(state::segment_verdicts const& verdicts)
{
    return json::array(
        {encode_segments(verdicts.suspects), verdicts.digest.count(),
         encode_verdict_list(verdicts.verdicts), encode_trials(verdicts.granted_trials)});
}

state::segment_verdicts read_verdicts(json const& from)
{
    element_reader in(from);
    state::segment_verdicts verdicts;
    verdicts.suspects = read_segments(read_list(in));
    verdicts.digest = state::verdicts_digest{in.unsigned_integer()};
    verdicts.verdicts = read_verdict_list(in.array());
    verdicts.granted_trials = read_trials(read_list(in));
    return verdicts;
}

} // namespace auburnweir::protocol
