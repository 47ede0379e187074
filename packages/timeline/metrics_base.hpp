/** @file metrics_base.hpp Counters and latency summaries of a daemon. */
#pragma once

#include "common/time_type.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace rosemarydeck
{

/** Named counters and summaries. Not thread-safe: only the control thread may
 *  use it. */
class metrics_registry
{
public:
    /** Adds to a counter. @param name Name of the counter, with its labels. */
    void count(const std::string& name, std::uint64_t by = 1);
    /** Adds a latency to a summary, which is exposed in seconds. */
    void observe(const std::string& name, duration latency);
    /** @return All metrics in the text exposition format. */
    [[nodiscard]] std::string expose() const;

private:
    using summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::extended_p_square_quantile>>;

    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, summary> summaries_;
};

} // namespace rosemarydeck
