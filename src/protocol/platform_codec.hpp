#ifndef AUBURNWEIR_PROTOCOL_PLATFORM_CODEC_HPP
#define AUBURNWEIR_PROTOCOL_PLATFORM_CODEC_HPP

#include "protocol/decoded.hpp"
#include "state/instance.hpp"
#include "state/table_write.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of the platform's HTTP interface: table service, instance list and notices.
namespace auburnweir::protocol
{

/// Body of `POST /table/transact`: all writes take effect, or none.
std::string encode_transaction(std::vector<state::table_write> const& writes);
decoded<std::vector<state::table_write>> decode_transaction(std::string_view body);

/// Body of a transaction's 200 response: the new row versions, in the order of the writes.
std::string encode_versions(std::vector<state::row_version> const& versions);
decoded<std::vector<state::row_version>> decode_versions(std::string_view body);

/// Body of a transaction's 409 response: the rows whose version is not the expected one.
std::string encode_rows(std::vector<state::table_row> const& rows);
decoded<std::vector<state::table_row>> decode_rows(std::string_view body);

/// Body of `GET /instances`: the instances of the system.
std::string encode_instances(std::vector<state::instance> const& instances);
decoded<std::vector<state::instance>> decode_instances(std::string_view body);

/// The platform will reclaim a backend server or an instance.
struct reclaim_notice
{
    std::string subject; ///< name of a backend server or an instance
    state::duration time_left;
};

/// Body of `GET /notices`.
std::string encode_notices(std::vector<reclaim_notice> const& notices);
decoded<std::vector<reclaim_notice>> decode_notices(std::string_view body);

/// Percent-encodes all bytes except the unreserved characters of a URL and `/`.
std::string url_encoded(std::string_view text);

/// Decodes percent-encoded text; null when an escape is malformed.
std::optional<std::string> url_decoded(std::string_view text);

/// Decoded value of a query parameter of a request target; empty when it is absent or malformed.
std::string query_value(std::string_view target, std::string_view name);

} // namespace auburnweir::protocol

#endif
