#include "soak/soak_record.hpp"

#include <algorithm>

namespace auburnweir::soak
{

namespace
{

// Bounds of the users' pages.
constexpr milliseconds revocation_bound{5000};
constexpr milliseconds drain_bound{3000};
constexpr milliseconds configuration_bound{3000};
constexpr milliseconds touch{4000}; ///< calm time after which an instance is in touch
constexpr milliseconds late_answer{1000};
constexpr milliseconds quota_window{8000};
constexpr milliseconds thaw{300};
constexpr double quota_overrun = 1.1;
constexpr double quota_slack = 0.25 * limited_rate; ///< as of the users' slack to their limits

/// Seconds of clock difference that two processes on one machine may see between send and record.
constexpr milliseconds sampling{50};

constexpr int events_of_a_stream = 10;

std::string expected_stream()
{
    std::string text;
    for (int i = 1; i <= events_of_a_stream; ++i)
        text += "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) + "\n\n";
    return text;
}

class checker
{
public:
    explicit checker(soak_record const& record)
        : record_(record)
    {
    }

    std::vector<std::string> check()
    {
        found_ = record_.violations;
        for (auto const& r : record_.requests)
        {
            runs_at_most_once(r);
            refusals_are_true(r);
            answer_is_whole_and_its_own(r);
            withdrawn_key_runs_nothing(r);
            ends_in_time(r);
            leaving_backend_gets_nothing(r);
        }
        added_routes_stay();
        limit_holds();
        duties_have_one_holder();
        return found_;
    }

private:
    int runs(std::string const& id) const
    {
        int sum = 0;
        for (auto const& backend : record_.runs)
            if (auto const it = backend.find(id); it != backend.end())
                sum += it->second;
        return sum;
    }

    void report(std::string what, seen_request const& r)
    {
        found_.push_back(
            what + ": request " + r.id + " at gateway " + std::to_string(r.gateway) + ", status " +
            std::to_string(r.reply.status) + ", runs " + std::to_string(runs(r.id)));
    }

    void runs_at_most_once(seen_request const& r)
    {
        if (!r.may_run_twice() && runs(r.id) > 1)
            report("TWICE", r);
    }

    void refusals_are_true(seen_request const& r)
    {
        auto const s = r.reply.status;
        bool const promised = s == 408 || s == 421 || s == 429 || s == 503;
        if (promised && !r.may_run_twice() && runs(r.id) > 0)
            report("REFUSED", r);
    }

    void answer_is_whole_and_its_own(seen_request const& r)
    {
        if (r.reply.status != 200)
            return;
        auto const stamp = r.reply.header("Auburnweir-Instance-Stamp");
        if (stamp.find("." + r.id) == std::string::npos)
            report("MIXED stamp '" + stamp + "'", r);
        bool const streamed = r.kind == request_kind::resumable || r.kind == request_kind::flow;
        if (streamed && r.reply.body != expected_stream())
            report("ORDER '" + r.reply.body + "'", r);
        if (!streamed && r.reply.parsed().value("echo", std::string{}) != "order " + r.id)
            report("MIXED body", r);
    }

    void withdrawn_key_runs_nothing(seen_request const& r)
    {
        auto const it = record_.withdrawn.find(r.key);
        if (it != record_.withdrawn.end() && r.sent > it->second + revocation_bound &&
            runs(r.id) > 0)
            report("CONFIG withdrawn key", r);
    }

    void ends_in_time(seen_request const& r)
    {
        auto const due = r.sent + milliseconds{r.limit_ms} + late_answer;
        if (r.ended > due && record_.calm(r.sent - touch, r.ended))
            report("late answer", r);
    }

    void leaving_backend_gets_nothing(seen_request const& r)
    {
        for (auto const& d : record_.drained)
        {
            bool const after = r.sent > d.time.from + drain_bound && r.ended < d.time.to - sampling;
            bool const ran = record_.runs[d.backend].contains(r.id);
            if (after && ran && record_.calm(d.time.from - touch, r.ended))
                report("DRAIN backend " + std::to_string(d.backend), r);
        }
    }

    void added_routes_stay()
    {
        std::map<std::pair<int, int>, std::map<int, moment>> seen; // by gateway and life
        for (auto const& r : record_.requests)
        {
            if (r.kind != request_kind::added_route)
                continue;
            auto& known = seen[{r.gateway, r.life}];
            bool const missing = r.reply.status == 404;
            auto const newer = known.lower_bound(r.route);
            if (missing && newer != known.end() && newer->second < r.sent)
                report("CONFIG regressed from route " + std::to_string(newer->first), r);
            auto const added = record_.added_routes[r.route];
            bool const due = r.sent > added + configuration_bound;
            if (missing && due && record_.calm(added - touch, r.ended))
                report("CONFIG route " + std::to_string(r.route) + " not in force", r);
            if (r.reply.status == 200)
                known.emplace(r.route, r.ended);
        }
    }

    void limit_holds()
    {
        std::vector<moment> sent;
        for (auto const& r : record_.requests)
            if (r.key == "limited" && runs(r.id) > 0)
                sent.push_back(r.sent);
        std::sort(sent.begin(), sent.end());
        auto const seconds = std::chrono::duration<double>(quota_window).count();
        auto const allowed = (limited_rate * seconds + limited_rate) * quota_overrun + quota_slack;
        std::size_t first = 0;
        for (std::size_t last = 0; last < sent.size(); ++last)
        {
            while (sent[last] - sent[first] > quota_window)
                ++first;
            auto const count = static_cast<double>(last - first + 1);
            if (count <= allowed)
                continue;
            found_.push_back(
                "QUOTA: " + std::to_string(last - first + 1) + " in 8 s, allowed " +
                std::to_string(allowed));
            return;
        }
    }

    bool just_thawed(tests::json const& duty) const
    {
        auto const it = record_.thawed.find(duty["holder"].get<std::string>());
        if (it == record_.thawed.end())
            return false;
        moment const at{milliseconds{duty["at_ms"].get<std::int64_t>()}};
        return std::any_of(
            it->second.begin(), it->second.end(),
            [&](moment thawed) { return at >= thawed - sampling && at < thawed + thaw; });
    }

    void duties_have_one_holder()
    {
        std::int64_t highest = 0;
        std::map<std::int64_t, std::string> holders;
        std::map<std::int64_t, tests::json> windows;
        for (auto const& duty : record_.duties)
        {
            if (just_thawed(duty))
                continue;
            auto const fencing = std::stoll(duty["fencing"].get<std::string>());
            auto const holder = duty["holder"].get<std::string>();
            if (fencing < highest)
                found_.push_back("ONE: fencing number fell to " + std::to_string(fencing));
            highest = std::max<std::int64_t>(highest, fencing);
            auto const [known, first] = holders.emplace(fencing, holder);
            if (known->second != holder)
                found_.push_back("ONE: two holders of number " + std::to_string(fencing));
            if (duty["path"] != "/usage")
                continue;
            auto const window = duty["windowId"].get<std::int64_t>();
            auto const [report, added] = windows.emplace(window, duty["counts"]);
            if (report->second != duty["counts"])
                found_.push_back("ONE: two reports of window " + std::to_string(window));
        }
    }

    soak_record const& record_;
    std::vector<std::string> found_;
};

} // namespace

std::vector<std::string> broken_promises(soak_record const& record)
{
    return checker(record).check();
}

} // namespace auburnweir::soak
