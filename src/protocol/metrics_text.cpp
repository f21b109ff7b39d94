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

std::string encode_metrics(state::counters const& counters)
{
    std::string out;
    append_reasons(out, "auburnweir_refusals_total", counters.refusals());
    append_reasons(out, "auburnweir_retries_total", counters.retries());
    append_reasons(out, "auburnweir_give_ups_total", counters.give_ups());
    counters.events().for_each(
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

void append_histogram(
    std::string& out, std::string const& name, state::latency_histogram const& histogram)
{
    auto const full_name = "auburnweir_" + name;
    out += "# TYPE " + full_name + " histogram\n";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < state::latency_class_count; ++i)
    {
        total += histogram.count(i);
        bool const last = i + 1 == state::latency_class_count;
        auto const bound = last ? "+Inf" : std::to_string(state::latency_class_bound_seconds(i));
        out.append(full_name).append("_bucket{le=\"").append(bound).append("\"} ");
        out.append(std::to_string(total)).append("\n");
    }
    out += full_name + "_sum " + std::to_string(histogram.sum_seconds()) + "\n";
    out += full_name + "_count " + std::to_string(total) + "\n";
}

} // namespace auburnweir::protocol
