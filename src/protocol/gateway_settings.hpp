#ifndef AUBURNWEIR_PROTOCOL_GATEWAY_SETTINGS_HPP
#define AUBURNWEIR_PROTOCOL_GATEWAY_SETTINGS_HPP

#include "state/configuration.hpp"
#include "state/finding.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Settings of one `auburnweir-gateway` process. The option table in the .cpp file and
/// docs/OPERATIONS.md hold their meanings, defaults and ranges.
struct gateway_settings
{
    state::instance_id id;
    state::failure_domain_id failure_domain;
    state::endpoint listen;
    state::endpoint ready_listen;
    std::string ready_path;
    state::endpoint metrics_listen;
    state::endpoint peer_listen;
    state::endpoint relay_listen;
    std::string peer_key;
    state::endpoint store;
    state::endpoint fleet;
    std::string log_level;

    std::int64_t workers = 0;
    state::byte_count memory_limit;
    double repeat_ratio = 0;
    double repeat_slack = 0;
    state::duration repeat_window{0};
    state::duration revocation_bound{0};
    state::duration configuration_bound{0};
    state::duration drain_bound{0};
    state::duration stop_grace{0};
    state::duration usage_window{0};
    state::duration lease_bound{0};
    state::duration store_timeout{0};
    state::duration watch_wait{0};
    state::duration confirmation_age{0};
    state::duration directory_period{0};
    state::duration report_period{0};
    state::duration connect_timeout{0};
    state::duration write_timeout{0};
    state::duration body_timeout{0};
    state::duration segment_quarantine{0};
    state::duration max_refusal{0};
    state::region_id region; ///< empty: unknown
    std::map<state::failure_domain_id, state::region_id> domain_regions;
    state::duration evacuation_bound{0};
    double cold_overrun = 0;
    double cold_slack = 0;
    std::string placement; ///< `automatic`, `uneven` or `even`
};

/// Parses a text with one `[gateway]` section. All findings are appended to `out`.
/// @return null when there is any finding
std::optional<gateway_settings> read_gateway_settings(
    std::string_view text, std::string const& file, state::findings& out);

/// Markdown table of the options with description, default and range.
std::string gateway_settings_reference();

} // namespace auburnweir::protocol

#endif
