#ifndef AUBURNWEIR_STATE_PLACEMENT_RULE_HPP
#define AUBURNWEIR_STATE_PLACEMENT_RULE_HPP

#include "state/ids.hpp"
#include "state/overloaded.hpp"

#include <set>
#include <variant>

namespace auburnweir::state
{

/// A request may be sent to servers in all failure domains.
struct any_domain
{
    friend bool operator==(any_domain const&, any_domain const&) = default;
};

/// A request may be sent to servers in these failure domains only; without domains to none.
struct permitted_domains
{
    std::set<failure_domain_id> domains;

    friend bool operator==(permitted_domains const&, permitted_domains const&) = default;
};

/// Failure domains to whose servers a request may be sent.
using placement_rule = std::variant<any_domain, permitted_domains>;

inline bool permits(placement_rule const& rule, failure_domain_id const& domain)
{
    return std::visit(
        overloaded{
            [](any_domain) { return true; },
            [&](permitted_domains const& some) { return some.domains.contains(domain); }},
        rule);
}

} // namespace auburnweir::state

#endif
