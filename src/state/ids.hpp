#ifndef AUBURNWEIR_STATE_IDS_HPP
#define AUBURNWEIR_STATE_IDS_HPP

#include "state/quantity.hpp"
#include "state/strong_id.hpp"

#include <cstdint>

/// Identifiers and units shared by all layers.
namespace auburnweir::state
{

using request_id = strong_id<struct request_tag>;
using organisation_id = strong_id<struct organisation_tag>;
using service_id = strong_id<struct service_tag>;
using operation_name = strong_id<struct operation_tag>;
using backend_id = strong_id<struct backend_tag>;
using instance_id = strong_id<struct instance_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using region_id = strong_id<struct region_tag>;
using version_id = strong_id<struct version_tag>;

/// Kind of call, identified by a path prefix or an operation's name.
using route_id = strong_id<struct route_tag>;

/// Caller's key for an operation that runs at most once.
using idempotency_key = strong_id<struct idempotency_key_tag>;

/// Unique to one attempt of one request; identifies late results of other attempts.
using attempt_token = strong_id<struct attempt_tag>;

/// Lower-case hexadecimal SHA-256.
using sha256_digest = strong_id<struct sha256_tag>;

using token_count = quantity<struct token_unit, std::int64_t>;
using byte_count = quantity<struct byte_unit, std::int64_t>;

/// Position of a token in an answer, from 1.
using sequence_number = quantity<struct sequence_unit, std::uint64_t>;

/// Version of a row in the table service; 0 when the row is absent.
using row_version = quantity<struct row_version_unit, std::uint64_t>;

/// Grows by one each time the store comes back from an older copy, which takes back what it has
/// acknowledged since; row versions of different eras can't be compared.
using store_era = quantity<struct store_era_unit, std::uint64_t>;

/// Grows with each change of a lease's holder; fences older holders.
using fencing_number = quantity<struct fencing_unit, std::uint64_t>;

/// Distinguishes consecutive processes at one address.
using incarnation_number = quantity<struct incarnation_unit, std::uint64_t>;

/// Millionths of the deployment's currency per hour.
using price_per_hour = quantity<struct price_unit, std::int64_t>;

} // namespace auburnweir::state

#endif
