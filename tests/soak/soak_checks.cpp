#include "soak/soak_record.hpp"

#include "protocol/json.hpp"

#include <algorithm>

namespace auburnweir::soak
{

namespace
{

// Bounds of the users' pages, down to `quota_slack_requests`.

constexpr milliseconds max_revocation_time{5000};
constexpr milliseconds max_drain_time{3000};
constexpr milliseconds max_configuration_time{3000};

/// Time without disruptions after which an instance is connected.
constexpr milliseconds reconnect_time{4000};

constexpr milliseconds timeout_tolerance{1000};
constexpr milliseconds quota_window{8000};

/// Duty calls of a paused gateway within this time after its resumption are not checked.
constexpr milliseconds resume_grace{300};

constexpr double quota_overrun_factor = 1.1;

/// Like the users' slack on their limits.
constexpr double quota_slack_requests = 0.25 * limited_rate_per_second;

/// Clock difference that two processes on one machine may observe between sending and recording.
constexpr milliseconds clock_tolerance{50};

constexpr int events_per_stream = 10;

std::string expected_stream()
{
    std::string text;
    for (int i = 1; i <= events_per_stream; ++i)
        text += "id: " + std::to_string(i) + "\ndata: token-" + std::to_string(i) + "\n\n";
    return text;
}

/// The whole body of a server's response that is not streamed.
std::string expected_body(std::string const& server, observed_request const& r)
{
    return protocol::dump({{"server", server}, {"echo", "order " + r.id}});
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
        violations_ = record_.violations;
        for (auto const& r : record_.requests)
        {
            check_runs_at_most_once(r);
            check_refusal(r);
            check_response(r);
            check_sound_run(r);
            check_revoked_key(r);
            check_timeout(r);
            check_drained_backend(r);
        }
        check_added_routes();
        check_quota();
        check_duty_holders();
        check_duty_turns();
        return violations_;
    }

private:
    int run_count(std::string const& id) const
    {
        int sum = 0;
        for (auto const& backend : record_.run_counts)
            if (auto const it = backend.find(id); it != backend.end())
                sum += it->second;
        return sum;
    }

    void add_violation(std::string label, observed_request const& r)
    {
        std::ranges::replace(label, '\n', '|');
        violations_.push_back(
            label + ": request " + r.id + " at gateway " + std::to_string(r.gateway) + ", status " +
            std::to_string(r.response.status) + ", runs " + std::to_string(run_count(r.id)));
    }

    void check_runs_at_most_once(observed_request const& r)
    {
        if (!r.may_run_twice() && run_count(r.id) > 1)
            add_violation("TWICE", r);
    }

    void check_refusal(observed_request const& r)
    {
        auto const status = r.response.status;
        bool const promises_no_run =
            status == 408 || status == 421 || status == 429 || status == 503;
        if (promises_no_run && !r.may_run_twice() && run_count(r.id) > 0)
            add_violation("REFUSED", r);
    }

    void check_response(observed_request const& r)
    {
        if (r.response.status != 200)
            return;
        auto const stamp = r.response.header("Auburnweir-Instance-Stamp");
        auto const server = stamp.substr(0, stamp.find('.'));
        if (!server.starts_with("backend-") || stamp != server + "." + r.id)
            add_violation("MIXED stamp '" + stamp + "'", r);
        if (r.is_streamed())
            check_stream(r);
        else if (r.response.is_complete && r.response.body != expected_body(server, r))
            add_violation("MIXED body '" + r.response.body + "'", r);
    }

    /// A complete stream has all events. One that was broken off has the first ones, and perhaps
    /// the start of another event or what a faulty server sent in its place.
    void check_stream(observed_request const& r)
    {
        auto const& body = r.response.body;
        auto const end = body.rfind("\n\n");
        auto const events = end == std::string::npos ? "" : body.substr(0, end + 2);
        if (r.response.is_complete && body != expected_stream())
            add_violation("ORDER complete '" + body + "'", r);
        else if (!r.response.is_complete && !expected_stream().starts_with(events))
            add_violation("ORDER broken off '" + body + "'", r);
    }

    /// Without faults only the organisation with a limit is refused requests, and no response is
    /// broken off.
    void check_sound_run(observed_request const& r)
    {
        bool const is_limited = r.key == "limited" && r.response.status == 429;
        bool const is_whole = r.response.status == 200 && r.response.is_complete;
        if (record_.without_faults && !is_limited && !is_whole)
            add_violation("LOST without faults", r);
    }

    void check_revoked_key(observed_request const& r)
    {
        auto const it = record_.revoked_keys.find(r.key);
        if (it != record_.revoked_keys.end() && r.sent_at > it->second + max_revocation_time &&
            run_count(r.id) > 0)
            add_violation("CONFIG revoked key", r);
    }

    void check_timeout(observed_request const& r)
    {
        auto const deadline = r.sent_at + milliseconds{r.timeout_ms} + timeout_tolerance;
        if (r.ended_at > deadline && record_.is_undisrupted(r.sent_at - reconnect_time, r.ended_at))
            add_violation("response after the timeout", r);
    }

    void check_drained_backend(observed_request const& r)
    {
        for (auto const& d : record_.drains)
        {
            bool const fully_drained = r.sent_at > d.time.from + max_drain_time &&
                                       r.ended_at < d.time.to - clock_tolerance;
            bool const ran = record_.run_counts[d.backend].contains(r.id);
            if (fully_drained && ran &&
                record_.is_undisrupted(d.time.from - reconnect_time, r.ended_at))
                add_violation("DRAIN backend " + std::to_string(d.backend), r);
        }
    }

    void check_added_routes()
    {
        // By gateway and incarnation: when a route was first found.
        std::map<std::pair<int, int>, std::map<int, time_point>> found_routes;
        for (auto const& r : record_.requests)
        {
            if (r.kind != request_kind::added_route)
                continue;
            auto& found_at = found_routes[{r.gateway, r.incarnation}];
            bool const missing = r.response.status == 404;
            auto const newer = found_at.lower_bound(r.route_number);
            if (missing && newer != found_at.end() && newer->second < r.sent_at)
                add_violation("CONFIG regressed from route " + std::to_string(newer->first), r);
            auto const added_at = record_.route_added_at[r.route_number];
            bool const due_by_now = r.sent_at > added_at + max_configuration_time;
            if (missing && due_by_now &&
                record_.is_undisrupted(added_at - reconnect_time, r.ended_at))
                add_violation(
                    "CONFIG route " + std::to_string(r.route_number) + " not in force", r);
            if (r.response.status == 200)
                found_at.emplace(r.route_number, r.ended_at);
        }
    }

    void check_quota()
    {
        std::vector<time_point> send_times;
        for (auto const& r : record_.requests)
            if (r.key == "limited" && run_count(r.id) > 0)
                send_times.push_back(r.sent_at);
        std::sort(send_times.begin(), send_times.end());
        auto const seconds = std::chrono::duration<double>(quota_window).count();
        auto const allowed =
            (limited_rate_per_second * seconds + limited_rate_per_second) * quota_overrun_factor +
            quota_slack_requests;
        std::size_t first = 0;
        for (std::size_t last = 0; last < send_times.size(); ++last)
        {
            while (send_times[last] - send_times[first] > quota_window)
                ++first;
            auto const count = static_cast<double>(last - first + 1);
            if (count <= allowed)
                continue;
            violations_.push_back(
                "QUOTA: " + std::to_string(last - first + 1) + " in 8 s, allowed " +
                std::to_string(allowed));
            return;
        }
    }

    bool just_resumed(tests::json const& duty) const
    {
        auto const it = record_.resumed_at.find(duty["holder"].get<std::string>());
        if (it == record_.resumed_at.end())
            return false;
        time_point const at{milliseconds{duty["at_ms"].get<std::int64_t>()}};
        return std::any_of(
            it->second.begin(), it->second.end(),
            [&](time_point resumed_at)
            { return at >= resumed_at - clock_tolerance && at < resumed_at + resume_grace; });
    }

    void check_duty_holders()
    {
        std::int64_t highest = 0;
        std::map<std::int64_t, std::string> holders;
        std::map<std::int64_t, tests::json> windows;
        for (auto const& duty : record_.duty_calls)
        {
            if (just_resumed(duty))
                continue;
            auto const fencing = std::stoll(duty["fencing"].get<std::string>());
            auto const holder = duty["holder"].get<std::string>();
            if (fencing < highest)
                violations_.push_back(
                    "ONE: fencing number decreased to " + std::to_string(fencing));
            highest = std::max<std::int64_t>(highest, fencing);
            auto const [entry, is_new] = holders.emplace(fencing, holder);
            if (entry->second != holder)
                violations_.push_back(
                    "ONE: two holders with fencing number " + std::to_string(fencing));
            if (duty["path"] != "/usage")
                continue;
            auto const window = duty["windowId"].get<std::int64_t>();
            auto const [report, is_new_window] = windows.emplace(window, duty["counts"]);
            if (report->second != duty["counts"])
                violations_.push_back(
                    "ONE: two different usage reports for window " + std::to_string(window));
        }
    }

    /// Holders must not act in the order A, B, A within the lease bound.
    void check_duty_turns()
    {
        constexpr milliseconds lease_bound{3000};
        std::vector<tests::json const*> calls;
        for (auto const& duty : record_.duty_calls)
            if (!just_resumed(duty))
                calls.push_back(&duty);
        auto const time_of = [](tests::json const& duty)
        { return milliseconds{duty["at_ms"].get<std::int64_t>()}; };
        for (std::size_t last = 0; last < calls.size(); ++last)
        {
            auto const& call = *calls[last];
            bool others_between = false;
            for (auto i = last; i-- > 0 && time_of(call) - time_of(*calls[i]) <= lease_bound;)
            {
                bool const is_own = (*calls[i])["holder"] == call["holder"];
                if (is_own && others_between)
                    violations_.push_back(
                        "ONE: " + call["holder"].get<std::string>() + " acted again after " +
                        std::to_string((time_of(call) - time_of(*calls[i])).count()) + " ms");
                if (is_own)
                    break;
                others_between = true;
            }
        }
    }

    soak_record const& record_;
    std::vector<std::string> violations_;
};

} // namespace

std::vector<std::string> find_violations(soak_record const& record)
{
    return checker(record).check();
}

} // namespace auburnweir::soak
