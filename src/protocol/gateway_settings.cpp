#include "protocol/gateway_settings.hpp"

#include "protocol/option_kinds.hpp"
#include "protocol/option_reference.hpp"

namespace auburnweir::protocol
{

namespace
{

using settings = gateway_settings;

constexpr std::int64_t bytes_per_megabyte = 1'000'000;

value_error read_domain_regions(settings& s, std::string const& text)
{
    for (auto const& item : split_list(text))
    {
        auto const colon = item.find(':');
        auto const domain = item.substr(0, colon);
        auto const region = colon == std::string::npos ? "" : item.substr(colon + 1);
        if (domain.empty() || region.empty())
            return "'" + item + "' is not domain:region";
        s.domain_regions[state::failure_domain_id{domain}] = state::region_id{region};
    }
    return std::nullopt;
}

option_table<settings> const& gateway_options()
{
    static option_table<settings> const table{
        id_option("id", "name of this instance, unique at any time", &settings::id),
        id_option("failure_domain", "failure domain of this instance", &settings::failure_domain),
        endpoint_option("listen", "address for callers", "127.0.0.1:0", &settings::listen),
        endpoint_option(
            "ready_listen", "address for readiness probes", "127.0.0.1:0", &settings::ready_listen),
        text_option<settings>(
            "ready_path", "path of readiness probes", "/readyz", "path", false,
            [](settings& s, std::string const& v) -> value_error
            {
                if (v.empty() || v.front() != '/')
                    return "'" + v + "' is not a path";
                s.ready_path = v;
                return std::nullopt;
            }),
        endpoint_option(
            "metrics_listen", "address that serves /metrics", "127.0.0.1:0",
            &settings::metrics_listen),
        endpoint_option(
            "peer_listen", "address for the other instances", "127.0.0.1:0",
            &settings::peer_listen),
        endpoint_option(
            "relay_listen",
            "address for requests that other instances relay through this one; none are relayed "
            "unless its host is that of `peer_listen`",
            "127.0.0.1:0", &settings::relay_listen),
        peer_key_option(&settings::peer_key),
        endpoint_option("store", "address of the platform's store", "", &settings::store),
        endpoint_option(
            "fleet", "address of the platform's interface for usage reports and orders", "",
            &settings::fleet),
        choice_option(
            "log_level", "minimum severity of logged events", "info",
            {"debug", "info", "warning", "error"}, &settings::log_level),
        count_option("workers", "worker threads", "1", 1, 64, &settings::workers),
        number_option<std::int64_t, settings>(
            "memory_limit_mb",
            "memory of this process; bodies of requests and responses use up to a quarter of it",
            "256", 16, 1000000,
            [](settings& s, std::int64_t v)
            { s.memory_limit = state::byte_count{v * bytes_per_megabyte}; }),
        number_option<double, settings>(
            "repeat_ratio", "retries per request, over all instances", "0.2", 0.0, 1.0,
            [](settings& s, double v) { s.repeat_ratio = v; }),
        number_option<double, settings>(
            "repeat_slack", "retries beyond the ratio in a window, over all instances", "50", 0.0,
            100000.0, [](settings& s, double v) { s.repeat_slack = v; }),
        seconds_option(
            "repeat_window_s", "window of the retry budget", "10", 0.1, 3600.0,
            &settings::repeat_window),
        milliseconds_option(
            "revocation_bound_ms", "maximum time until a revoked key can no longer run requests",
            "5000", 100, 600000, &settings::revocation_bound),
        milliseconds_option(
            "configuration_bound_ms", "maximum time until a new configuration is applied", "3000",
            100, 600000, &settings::configuration_bound),
        milliseconds_option(
            "drain_bound_ms",
            "maximum time until a backend server that leaves gets no more requests", "3000", 100,
            600000, &settings::drain_bound),
        seconds_option(
            "stop_grace_s", "time between the order to stop and the forced kill", "8", 0.0, 600.0,
            &settings::stop_grace),
        seconds_option(
            "usage_window_s", "length of a usage reporting window", "5", 0.1, 3600.0,
            &settings::usage_window),
        milliseconds_option(
            "lease_bound_ms", "time in which a duty must not alternate between two holders", "3000",
            100, 600000, &settings::lease_bound),
        milliseconds_option(
            "store_timeout_ms", "timeout for a call to the store", "1000", 10, 60000,
            &settings::store_timeout),
        milliseconds_option(
            "watch_wait_ms", "maximum time that the store holds a watch open", "15000", 0, 30000,
            &settings::watch_wait),
        milliseconds_option(
            "confirmation_age_ms",
            "confirmation age of the configuration from which the store is queried again", "1900",
            10, 600000, &settings::confirmation_age),
        milliseconds_option(
            "directory_period_ms", "minimum interval between checks for changed backend servers",
            "700", 50, 60000, &settings::directory_period),
        milliseconds_option(
            "report_period_ms", "interval between reports to the other instances", "300", 50, 60000,
            &settings::report_period),
        milliseconds_option(
            "connect_timeout_ms", "timeout for connecting to a backend server", "400", 10, 60000,
            &settings::connect_timeout),
        milliseconds_option(
            "write_timeout_ms", "timeout for writing one part of a response to a caller", "10000",
            100, 600000, &settings::write_timeout),
        milliseconds_option(
            "body_timeout_ms", "timeout for receiving a request body from a caller", "15000", 100,
            600000, &settings::body_timeout),
        seconds_option(
            "segment_quarantine_s",
            "time for which requests with a prompt segment that crashes backend servers are "
            "refused",
            "600", 1.0, 43200.0, &settings::segment_quarantine),
        seconds_option(
            "max_backend_refusal_s",
            "longest time for which a backend server that turned a request away is believed that "
            "it wants no others",
            "300", 0.0, 86400.0, &settings::max_refusal),
        text_option<settings>(
            "region", "region of this instance", "", "identifier", false,
            [](settings& s, std::string const& v) -> value_error
            {
                s.region = state::region_id{v};
                return std::nullopt;
            }),
        text_option<settings>(
            "domain_regions", "regions of the failure domains; servers of others have no region",
            "", "domain:region, ...", false, read_domain_regions),
        milliseconds_option(
            "evacuation_bound_ms",
            "maximum time until the servers of an evacuated failure domain get no more requests",
            "5000", 100, 600000, &settings::evacuation_bound),
        number_option<double, settings>(
            "cold_overrun", "factor by which the rate that a cold server tolerates may be exceeded",
            "1.5", 1.0, 100.0, [](settings& s, double v) { s.cold_overrun = v; }),
        number_option<double, settings>(
            "cold_slack", "requests in a second beyond that rate", "5", 0.0, 100000.0,
            [](settings& s, double v) { s.cold_slack = v; }),
        choice_option(
            "placement",
            "whether servers are chosen by their speed and requests by their length; automatic: "
            "where servers report their speed or objectives compete",
            "automatic", {"automatic", "uneven", "even"}, &settings::placement)};
    return table;
}

} // namespace

std::optional<gateway_settings> read_gateway_settings(
    std::string_view text, std::string const& file, state::findings& out)
{
    return read_single_section(text, file, "gateway", gateway_options(), out);
}

std::string gateway_settings_reference()
{
    return option_reference("gateway", gateway_options());
}

} // namespace auburnweir::protocol
