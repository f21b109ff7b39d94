#ifndef AUBURNWEIR_PROTOCOL_PLATFORM_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_PLATFORM_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/instance.hpp"
#include "state/table_write.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The platform's HTTP interface: table service, instance list and notices, as JSON.
namespace auburnweir::protocol
{

/// Body of `POST /table/transact`: all writes take effect, or none.
std::string encode_transaction(std::vector<state::table_write> const& writes);
decoded<std::vector<state::table_write>> decode_transaction(std::string_view body);

/// Body of a transaction's 200 answer: the new versions, in the order of the writes.
std::string encode_versions(std::vector<state::row_version> const& versions);
decoded<std::vector<state::row_version>> decode_versions(std::string_view body);

/// Body of a transaction's 409 answer: the rows that were not as expected.
std::string encode_rows(std::vector<state::table_row> const& rows);
decoded<std::vector<state::table_row>> decode_rows(std::string_view body);

/// The instances of the system, from `GET /instances`.
std::string encode_instances(std::vector<state::instance> const& instances);
decoded<std::vector<state::instance>> decode_instances(std::string_view body);

/// The platform takes a backend server or an instance away.
struct reclaim_notice
{
    std::string subject; ///< name of a backend server or an instance
    state::duration time_left;
};

/// Body of `GET /notices`.
std::string encode_notices(std::vector<reclaim_notice> const& notices);
decoded<std::vector<reclaim_notice>> decode_notices(std::string_view body);

/// Percent-encodes what is not unreserved in a URL, except `/`.
std::string url_encoded(std::string_view text);

/// Reverses `url_encoded`; null when an escape is malformed.
std::optional<std::string> url_decoded(std::string_view text);

/// Value of one parameter of a request target's query, decoded; empty when it is absent.
std::string query_value(std::string_view target, std::string_view name);

} // namespace auburnweir::protocol

#endif
