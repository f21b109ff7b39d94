#ifndef AUBURNWEIR_STATE_OVERLOADED_HPP
#define AUBURNWEIR_STATE_OVERLOADED_HPP

namespace auburnweir::state
{

/// Combines lambdas into one visitor for `std::visit`.
template <class... Fs>
struct overloaded : Fs...
{
    using Fs::operator()...;
};

template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace auburnweir::state

#endif
