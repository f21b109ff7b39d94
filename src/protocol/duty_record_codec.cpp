#include "protocol/duty_record_codec.hpp"

#include "coordination/lease_turns.hpp"
#include "protocol/cbor.hpp"
#include "protocol/element_reader.hpp"
#include "protocol/option_table.hpp"

namespace auburnweir::protocol
{

namespace
{

using nlohmann::json;

/// The lease's history follows these elements of the array of the usage, where earlier versions
/// ignore it.
constexpr std::size_t usage_elements = 2;

json encode_counts(state::usage_counts const& counts)
{
    auto out = json::array();
    for (auto const& [organisation, count] : counts)
        out.push_back({organisation.str(), count});
    return out;
}

state::usage_counts read_counts(json const& from)
{
    state::usage_counts counts;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::organisation_id const organisation{in.text()};
        counts[organisation] = in.integer();
    }
    return counts;
}

/// Each organisation's name is written once and then referred to by its index in the list of
/// names, because the row's size is limited.
json encode_usage(state::usage_by_writer const& usage)
{
    auto names = json::array();
    std::map<state::organisation_id, std::size_t> indexes;
    auto rows = json::array();
    for (auto const& [window, writers] : usage)
        for (auto const& [writer, counts] : writers)
        {
            json row{window.count(), writer.id.str(), writer.incarnation.count()};
            for (auto const& [organisation, count] : counts)
            {
                auto const [entry, added] = indexes.emplace(organisation, indexes.size());
                if (added)
                    names.push_back(organisation.str());
                row.push_back(entry->second);
                row.push_back(count);
            }
            rows.push_back(std::move(row));
        }
    return json::array({std::move(names), std::move(rows)});
}

state::usage_by_writer read_usage(json const& from)
{
    element_reader in(from);
    std::vector<state::organisation_id> names;
    for (auto const& name : in.array())
    {
        require(name.is_string(), "name is not text");
        names.emplace_back(name.get<std::string>());
    }
    state::usage_by_writer usage;
    for (auto const& e : in.array())
    {
        element_reader row(e);
        state::window_number const window{row.integer()};
        state::instance_incarnation writer;
        writer.id = state::instance_id{row.text()};
        writer.incarnation = state::incarnation_number{row.unsigned_integer()};
        auto& counts = usage[window][writer];
        while (!row.at_end())
        {
            auto const index = row.unsigned_integer();
            require(index < names.size(), "index is beyond the list of names");
            counts[names[index]] = row.integer();
        }
    }
    return usage;
}

json encode_fleet(state::fleet_counts const& counts)
{
    auto out = json::array();
    for (auto const& [group, count] : counts)
        out.push_back({group.service.str(), group.failure_domain.str(), group.reclaimable, count});
    return out;
}

state::fleet_counts read_fleet(json const& from)
{
    state::fleet_counts counts;
    for (auto const& e : from)
    {
        element_reader in(e);
        state::fleet_group group;
        group.service = state::service_id{in.text()};
        group.failure_domain = state::failure_domain_id{in.text()};
        group.reclaimable = in.flag();
        counts[group] = in.integer();
    }
    return counts;
}

/// Null is encoded as an empty array.
json encode_time(std::optional<state::wall_time> const& time)
{
    auto out = json::array();
    if (time)
        out.push_back(time->time_since_epoch().count());
    return out;
}

std::optional<state::wall_time> read_time(json const& from)
{
    element_reader in(from);
    if (in.at_end())
        return std::nullopt;
    return state::wall_time{std::chrono::milliseconds{in.integer()}};
}

json encode_history(state::lease_history const& history)
{
    auto earlier = json::array();
    for (auto const& holder : history.earlier)
        earlier.push_back({holder.id.str(), holder.acted_until.time_since_epoch().count()});
    return json::array(
        {encode_time(history.acted_until), std::move(earlier),
         encode_time(history.others_acted_until)});
}

state::lease_history read_history(json const& from)
{
    element_reader in(from);
    state::lease_history history;
    history.acted_until = read_time(in.array());
    auto const& earlier = in.array();
    require(earlier.size() <= coordination::max_earlier_holders, "too many earlier holders");
    for (auto const& e : earlier)
    {
        element_reader holder(e);
        state::instance_id id{holder.text()};
        history.earlier.push_back(
            {std::move(id), state::wall_time{std::chrono::milliseconds{holder.integer()}}});
    }
    history.others_acted_until = read_time(in.array());
    return history;
}

coordination::duty_record read_record(json const& from)
{
    element_reader in(from);
    coordination::duty_record record;
    record.lease.holder = state::instance_id{in.text()};
    record.lease.fencing = state::fencing_number{in.unsigned_integer()};
    record.lease.until = state::wall_time{std::chrono::milliseconds{in.integer()}};
    auto const address = decode_instance_address(in.text());
    require(address.has_value(), "holder has no address");
    record.holder_address = *address;
    record.reported_through = state::window_number{in.integer()};
    auto const& usage = in.array();
    record.usage = read_usage(usage);
    if (usage.size() > usage_elements)
        record.lease.history = read_history(usage[usage_elements]);
    record.initial_fleet = read_fleet(in.array());
    if (in.at_end())
        return record;
    auto& pending = record.pending.emplace();
    pending.window = state::window_number{in.integer()};
    pending.counts = read_counts(in.array());
    return record;
}

std::string to_text(json const& value)
{
    auto const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string encode_duty_record(coordination::duty_record const& record)
{
    auto usage = encode_usage(record.usage);
    if (record.lease.history)
        usage.push_back(encode_history(*record.lease.history));
    auto out = json::array(
        {record.lease.holder.str(), record.lease.fencing.count(),
         record.lease.until.time_since_epoch().count(),
         encode_instance_address(record.holder_address), record.reported_through.count(),
         std::move(usage), encode_fleet(record.initial_fleet)});
    if (record.pending)
    {
        out.push_back(record.pending->window.count());
        out.push_back(encode_counts(record.pending->counts));
    }
    return to_text(out);
}

std::optional<coordination::duty_record> decode_duty_record(std::string_view text)
{
    auto const parsed = parse_cbor(text);
    if (!parsed)
        return std::nullopt;
    try
    {
        return read_record(*parsed);
    }
    catch (malformed_message const&)
    {
        // The calling code logs that the row can't be decoded.
        return std::nullopt;
    }
}

std::string encode_instance_address(state::endpoint const& address)
{
    return address.host + ":" + std::to_string(address.port);
}

std::optional<state::endpoint> decode_instance_address(std::string_view text)
{
    return parse_endpoint(text);
}

} // namespace auburnweir::protocol
