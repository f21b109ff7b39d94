#include "protocol/service_text.hpp"

#include "protocol/option_reference.hpp"
#include "protocol/option_table.hpp"

#include <cmath>

namespace auburnweir::protocol
{

namespace
{

using state::backend_server;
using state::failure_domain;
using state::organisation;

constexpr double price_units_per_currency = 1e6;

state::price_per_hour price_of(double currency)
{
    return state::price_per_hour{std::llround(currency * price_units_per_currency)};
}

template <class Id>
value_error store_identifier(Id& id, std::string const& text)
{
    if (!is_identifier(text))
        return "'" + text + "' is not an identifier";
    id = Id{text};
    return std::nullopt;
}

template <class Id>
value_error store_identifiers(std::set<Id>& ids, std::string const& text)
{
    ids.clear();
    for (auto const& item : split_list(text))
    {
        if (!is_identifier(item))
            return "'" + item + "' is not an identifier";
        ids.insert(Id{item});
    }
    return std::nullopt;
}

value_error store_digest(organisation& o, std::string const& text)
{
    constexpr std::size_t sha256_hex_digits = 64;
    bool const hex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (text.size() != sha256_hex_digits || !hex)
        return "not a SHA-256 in 64 lower-case hexadecimal digits";
    o.bearer_digest = state::sha256_digest{text};
    return std::nullopt;
}

option_table<organisation> const& organisation_options()
{
    static option_table<organisation> const table{
        text_option<organisation>(
            "bearer_sha256", "SHA-256 of the organisation's bearer token", "", "64 hex digits",
            true, store_digest),
        number_option<double, organisation>(
            "weight", "share of tokens under contention, relative to other organisations", "1",
            0.01, 1000, [](organisation& o, double v) { o.weight = v; })};
    return table;
}

option_table<failure_domain> const& failure_domain_options()
{
    static option_table<failure_domain> const table{
        text_option<failure_domain>(
            "region", "region that the failure domain belongs to", "", "identifier", true,
            [](failure_domain& d, std::string const& v) { return store_identifier(d.region, v); }),
        number_option<double, failure_domain>(
            "price", "hourly price of a backend server of the usual class", "1", 0, 10000,
            [](failure_domain& d, double v) { d.price = price_of(v); })};
    return table;
}

/// Values of a service section, read before its kind is known.
struct service_draft
{
    state::service service;
    std::string kind;
    state::engine_service engine;
    state::plain_service plain;
    bool has_plain_keys = false;
};

option_table<service_draft> const& service_options()
{
    using draft = service_draft;
    static option_table<draft> const table{
        text_option<draft>(
            "kind", "engine: chat completions; plain: named operations", "", "engine, plain", true,
            [](draft& d, std::string const& v) -> value_error
            {
                d.kind = v;
                if (v == "engine" || v == "plain")
                    return std::nullopt;
                return "'" + v + "' is neither engine nor plain";
            }),
        text_option<draft>(
            "depends_on", "services that this one needs", "", "identifiers, comma-separated", false,
            [](draft& d, std::string const& v)
            { return store_identifiers(d.service.depends_on, v); }),
        number_option<std::int64_t, draft>(
            "latency_target_ms", "target time to the first token or to the response", "300", 1,
            600000,
            [](draft& d, std::int64_t v)
            { d.service.latency_target = std::chrono::milliseconds{v}; }),
        number_option<std::int64_t, draft>(
            "queue_limit", "maximum queued requests at one entry instance", "1000", 0, 1000000,
            [](draft& d, std::int64_t v) { d.service.queue_limit = v; }),
        number_option<std::int64_t, draft>(
            "default_max_tokens", "value of max_tokens for a request that sets none (engine)",
            "256", 1, 1000000,
            [](draft& d, std::int64_t v) { d.engine.default_max_tokens = state::token_count{v}; }),
        text_option<draft>(
            "operations", "operations that callers may call (plain)", "",
            "identifiers, comma-separated", false,
            [](draft& d, std::string const& v)
            {
                d.has_plain_keys = true;
                return store_identifiers(d.plain.operations, v);
            }),
        text_option<draft>(
            "idempotent", "those of the operations that are safe to retry (plain)", "",
            "identifiers, comma-separated", false,
            [](draft& d, std::string const& v)
            {
                d.has_plain_keys = true;
                return store_identifiers(d.plain.idempotent, v);
            })};
    return table;
}

option_table<backend_server> const& backend_options()
{
    static option_table<backend_server> const table{
        text_option<backend_server>(
            "service", "service of this backend server", "", "identifier", true,
            [](backend_server& b, std::string const& v) { return store_identifier(b.service, v); }),
        text_option<backend_server>(
            "failure_domain", "failure domain of this backend server", "", "identifier", true,
            [](backend_server& b, std::string const& v)
            { return store_identifier(b.failure_domain, v); }),
        text_option<backend_server>(
            "address", "IP address and port", "", "host:port", true,
            [](backend_server& b, std::string const& v) -> value_error
            {
                auto const parsed = parse_endpoint(v);
                if (!parsed || parsed->port == 0)
                    return "'" + v + "' is not an IP address and port";
                b.address = *parsed;
                return std::nullopt;
            }),
        text_option<backend_server>(
            "version", "version that this backend server runs", "v1", "identifier", false,
            [](backend_server& b, std::string const& v) { return store_identifier(b.version, v); }),
        number_option<std::int64_t, backend_server>(
            "concurrency", "requests that it runs concurrently without queueing", "8", 1, 100000,
            [](backend_server& b, std::int64_t v) { b.concurrency = v; }),
        number_option<double, backend_server>(
            "price", "hourly price; 0 uses the failure domain's", "0", 0, 10000,
            [](backend_server& b, double v) { b.price = price_of(v); }),
        text_option<backend_server>(
            "fencing", "whether it rejects orders with an old fencing number", "checked",
            "checked, ignored", false,
            [](backend_server& b, std::string const& v) -> value_error
            {
                if (v != "checked" && v != "ignored")
                    return "'" + v + "' is neither checked nor ignored";
                b.fencing =
                    v == "checked" ? state::fencing_mode::checked : state::fencing_mode::ignored;
                return std::nullopt;
            })};
    return table;
}

/// Adds the sections of one text to a configuration builder.
class text_reader
{
public:
    text_reader(std::string const& file, state::findings& out)
        : file_(file)
        , out_(out)
    {
    }

    void read(ini_section const& section)
    {
        if (!is_identifier(section.name))
        {
            out_.push_back(
                {file_, section.line, section.title(), "section header needs one identifier"});
            return;
        }
        if (section.kind == "organisation")
            read_as<organisation>(section, organisation_options());
        else if (section.kind == "failure_domain")
            read_as<failure_domain>(section, failure_domain_options());
        else if (section.kind == "backend")
            read_as<backend_server>(section, backend_options());
        else if (section.kind == "service")
            read_service(section);
        else
            out_.push_back({file_, section.line, section.title(), "unknown section"});
    }

    state::configuration_ptr build() { return builder_.build(out_); }

private:
    template <class Target>
    void read_as(ini_section const& section, option_table<Target> const& table)
    {
        Target target;
        target.id = decltype(target.id){section.name};
        apply_section(section, table, file_, target, out_);
        builder_.add(std::move(target), {file_, section.line});
    }

    void read_service(ini_section const& section)
    {
        service_draft draft;
        draft.service.id = state::service_id{section.name};
        apply_section(section, service_options(), file_, draft, out_);
        if (draft.kind == "engine" && draft.has_plain_keys)
            out_.push_back(
                {file_, section.line, section.title(), "an engine service has no operations"});
        if (draft.kind == "plain" && draft.plain.operations.empty())
            out_.push_back(
                {file_, section.line, section.title(), "a plain service needs operations"});
        if (draft.kind == "plain")
            draft.service.kind = draft.plain;
        else
            draft.service.kind = draft.engine;
        builder_.add(std::move(draft.service), {file_, section.line});
    }

    std::string const& file_;
    state::findings& out_;
    state::configuration::builder builder_;
};

} // namespace

state::configuration_ptr read_service_text(
    std::string_view text, std::string const& file, state::findings& out)
{
    auto const document = parse_ini(text, file, out);
    text_reader reader(file, out);
    for (auto const& section : document)
        reader.read(section);
    return reader.build();
}

std::string service_text_reference()
{
    return option_reference("organisation NAME", organisation_options()) +
           option_reference("failure_domain NAME", failure_domain_options()) +
           option_reference("service NAME", service_options()) +
           option_reference("backend NAME", backend_options());
}

} // namespace auburnweir::protocol
