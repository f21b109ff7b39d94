#include "protocol/entry_settings.hpp"

#include "protocol/option_kinds.hpp"
#include "protocol/option_reference.hpp"
#include "protocol/option_table.hpp"

namespace auburnweir::protocol
{

namespace
{

using settings = entry_settings;

option_table<settings> const& entry_options()
{
    static option_table<settings> const table{
        id_option("id", "name of this instance, unique at any time", &settings::id),
        id_option("failure_domain", "failure domain of this instance", &settings::failure_domain),
        id_option("region", "region of this instance", &settings::region),
        endpoint_option(
            "listen", "address for callers; port 0 selects a free port", "127.0.0.1:0",
            &settings::listen),
        endpoint_option(
            "peer_listen", "address for other entry instances", "127.0.0.1:0",
            &settings::peer_listen),
        endpoint_option("platform", "address of the platform's service", "", &settings::platform),
        text_option<settings>(
            "configuration_file", "service text read at startup", "", "path", true,
            [](settings& s, std::string const& v) -> value_error
            {
                s.configuration_file = v;
                return std::nullopt;
            }),
        peer_key_option(&settings::peer_key),
        choice_option(
            "log_level", "minimum severity of logged events", "info",
            {"debug", "info", "warning", "error"}, &settings::log_level),
        choice_option(
            "routing", "routing policy; the other values are baselines", "predicted_first_token",
            {"predicted_first_token", "round_robin", "least_loaded", "power_of_two"},
            &settings::routing),
        count_option("workers", "worker threads", "2", 1, 64, &settings::workers),
        count_option(
            "header_limit", "maximum size of a request header, in bytes", "8192", 512, 65536,
            &settings::header_limit),
        count_option(
            "body_limit", "maximum size of a request body, in bytes", "1048576", 1024, 67108864,
            &settings::body_limit),
        count_option(
            "subset_size", "backend servers of one service that this instance uses", "24", 1, 1000,
            &settings::subset_size),
        count_option(
            "most_attempts", "maximum attempts for one request, including the first", "4", 1, 20,
            &settings::most_attempts),
        number_option<double, settings>(
            "retry_budget", "retries as a share of a service's requests", "0.1", 0.0, 1.0,
            [](settings& s, double v) { s.retry_budget = v; }),
        milliseconds_option(
            "header_timeout_ms", "timeout for receiving a request header from a caller", "10000",
            100, 600000, &settings::header_timeout),
        milliseconds_option(
            "body_timeout_ms", "timeout for receiving a request body from a caller", "20000", 100,
            600000, &settings::body_timeout),
        milliseconds_option(
            "write_timeout_ms", "timeout for writing one part of a response to a caller", "30000",
            100, 600000, &settings::write_timeout),
        milliseconds_option(
            "stall_timeout_ms",
            "time without data after which a backend server's response counts as lost", "10000", 50,
            600000, &settings::stall_timeout),
        milliseconds_option(
            "store_timeout_ms", "timeout for a call to the platform", "1000", 10, 60000,
            &settings::store_timeout),
        milliseconds_option(
            "poll_period_ms", "interval between reads of the platform's lists and notices", "500",
            50, 60000, &settings::poll_period),
        milliseconds_option(
            "replica_wait_ms", "maximum time that tokens wait for the journal's replica", "20", 0,
            10000, &settings::replica_wait),
        milliseconds_option(
            "journal_kept_ms", "time for which a finished answer can be fetched again", "120000",
            100, 86400000, &settings::journal_kept),
        milliseconds_option(
            "adopt_delay_ms",
            "time without contact to an owner after which the replica's instance adopts its "
            "requests",
            "1000", 50, 60000, &settings::adopt_delay),
        milliseconds_option(
            "abandon_after_ms", "time without a reader after which an answer is cancelled", "10000",
            100, 3600000, &settings::abandon_after),
        milliseconds_option(
            "readiness_delay_ms",
            "time at a stop between reporting not ready and refusing new connections", "500", 0,
            60000, &settings::readiness_delay),
        milliseconds_option(
            "drain_limit_ms", "maximum time at a stop for requests in progress to finish", "30000",
            0, 3600000, &settings::drain_limit),
        milliseconds_option(
            "group_window_ms", "time that ledger writes wait for others to share a transaction",
            "5", 0, 1000, &settings::group_window),
        milliseconds_option(
            "review_scan_ms", "interval between scans for deferrable requests to run", "1000", 50,
            600000, &settings::review_scan)};
    return table;
}

} // namespace

std::optional<entry_settings> read_entry_settings(
    std::string_view text, std::string const& file, state::findings& out)
{
    return read_single_section(text, file, "entry", entry_options(), out);
}

std::string entry_settings_reference()
{
    return option_reference("entry", entry_options());
}

} // namespace auburnweir::protocol
