/** @file metrics_base.cpp Counters and latency summaries of a daemon. */
#include "timeline/metrics_base.hpp"

#include <array>
#include <sstream>

namespace rosemarydeck
{

namespace
{

namespace acc = boost::accumulators;

const std::array<double, 3> quantiles{0.5, 0.95, 0.99};

} // namespace

void metrics_registry::count(const std::string& name, std::uint64_t by)
{
    counters_[name] += by;
}

void metrics_registry::observe(const std::string& name, duration latency)
{
    const auto found =
        summaries_
            .try_emplace(name, acc::extended_p_square_probabilities = quantiles)
            .first;
    found->second(std::chrono::duration<double>(latency).count());
}

std::string metrics_registry::expose() const
{
    std::ostringstream out;
    for (const auto& [name, value] : counters_)
        out << name << ' ' << value << '\n';
    for (const auto& [name, values] : summaries_) {
        for (const double probability : quantiles)
            out << name << "{quantile=\"" << probability << "\"} "
                << acc::quantile(values,
                                 acc::quantile_probability = probability)
                << '\n';
        out << name << "_count " << acc::count(values) << '\n';
    }
    return out.str();
}

} // namespace rosemarydeck
