#include "coordination/gossip.hpp"

#include <algorithm>
#include <iterator>

namespace auburnweir::coordination
{

std::vector<state::instance> gossip_targets(
    state::instance_id const& self, std::vector<state::instance> const& live,
    std::mt19937_64& random, std::size_t fanout)
{
    std::vector<state::instance> others;
    std::copy_if(
        live.begin(), live.end(), std::back_inserter(others),
        [&](state::instance const& i) { return i.id != self; });
    std::vector<state::instance> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), fanout, random);
    return chosen;
}

} // namespace auburnweir::coordination
