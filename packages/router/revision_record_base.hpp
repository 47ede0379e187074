/** @file revision_record_base.hpp How far the store is known to be. */
#pragma once

#include "common/time_type.hpp"

#include <cstdint>
#include <deque>

namespace rosemarydeck
{

/**
 * Records which revisions of the store its answers have named, and when. Shows
 * whether a cheap read, which may be out of date, was too old to prove that
 * there is no news.
 */
class revision_record
{
public:
    /** @param memory How long ago revisions can be asked for. */
    explicit revision_record(duration memory = std::chrono::seconds(10))
        : memory_(memory)
    {
    }

    /** Records a revision that an answer has named.
     *  @param now Time of the answer, not before that of the last one. */
    void record(std::uint64_t revision, time_point now);
    /** @return The highest revision that was known at a time; 0 if none was. */
    [[nodiscard]] std::uint64_t known_at(time_point when) const;

private:
    struct entry
    {
        std::uint64_t revision = 0;
        time_point time{};
    };

    duration memory_;
    std::deque<entry> entries_; ///< Both members increase.
};

} // namespace rosemarydeck
