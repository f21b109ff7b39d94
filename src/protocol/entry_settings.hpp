#ifndef AUBURNWEIR_PROTOCOL_ENTRY_SETTINGS_HPP
#define AUBURNWEIR_PROTOCOL_ENTRY_SETTINGS_HPP

#include "state/configuration.hpp"
#include "state/finding.hpp"
#include "state/ids.hpp"
#include "state/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace auburnweir::protocol
{

/// Settings of one `auburnweir-entry` process. The option table in the .cpp file and
/// docs/OPERATIONS.md hold their meanings, defaults and ranges.
struct entry_settings
{
    state::instance_id id;
    state::failure_domain_id failure_domain;
    state::region_id region;
    state::endpoint listen;
    state::endpoint peer_listen;
    state::endpoint platform;
    std::string configuration_file;
    std::string peer_key;
    std::string log_level;
    std::string routing;

    std::int64_t workers = 0;
    std::int64_t header_limit = 0;
    std::int64_t body_limit = 0;
    std::int64_t subset_size = 0;
    std::int64_t most_attempts = 0;
    double retry_budget = 0;
    state::duration header_timeout{0};
    state::duration body_timeout{0};
    state::duration write_timeout{0};
    state::duration stall_timeout{0};
    state::duration store_timeout{0};
    state::duration poll_period{0};
    state::duration replica_wait{0};
    state::duration journal_kept{0};
    state::duration adopt_delay{0};
    state::duration abandon_after{0};
    state::duration readiness_delay{0};
    state::duration drain_limit{0};
    state::duration group_window{0};
    state::duration review_scan{0};
};

/// Parses a text with one `[entry]` section. All findings are appended to `out`.
/// @return null when there is any finding
std::optional<entry_settings> read_entry_settings(
    std::string_view text, std::string const& file, state::findings& out);

/// Markdown table of the options with description, default and range.
std::string entry_settings_reference();

} // namespace auburnweir::protocol

#endif
