#include "protocol/metrics_text.hpp"

namespace auburnweir::protocol
{

namespace
{

template <class Enum>
void append_reasons(
    std::string& out, std::string const& name, state::enum_counters<Enum> const& counters)
{
    out += "# TYPE " + name + " counter\n";
    counters.for_each(
        [&](Enum reason, std::uint64_t count)
        {
            out += name + "{reason=\"" + std::string{name_of(reason)} + "\"} " +
                   std::to_string(count) + "\n";
        });
}

} // namespace

std::string encode_metrics(state::counters const& all)
{
    std::string out;
    append_reasons(out, "auburnweir_refusals_total", all.refusals());
    append_reasons(out, "auburnweir_retries_total", all.retries());
    append_reasons(out, "auburnweir_give_ups_total", all.give_ups());
    all.events().for_each(
        [&](state::event_counter event, std::uint64_t count)
        {
            auto const name = "auburnweir_" + std::string{name_of(event)} + "_total";
            out += "# TYPE " + name + " counter\n" + name + " " + std::to_string(count) + "\n";
        });
    return out;
}

void append_gauge(std::string& out, std::string const& name, double value)
{
    out += "# TYPE auburnweir_" + name + " gauge\nauburnweir_" + name + " " +
           std::to_string(value) + "\n";
}

} // namespace auburnweir::protocol
