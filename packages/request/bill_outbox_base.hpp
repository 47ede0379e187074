/** @file bill_outbox_base.hpp Bills that wait for the platform. */
#pragma once

#include "common/time_type.hpp"
#include "request/bill_type.hpp"

#include <deque>
#include <optional>
#include <string>

namespace rosemarydeck
{

/** A batch under a name that is fixed before the first try to write it. */
struct named_batch
{
    std::string name;
    bill_batch batch;

    bool operator==(const named_batch&) const = default;
};

/**
 * Collects bills and hands them out in batches, one at a time. A batch keeps
 * its name and content until it is confirmed, so a repeated write after a
 * lost answer can't store a bill twice.
 */
class bill_outbox
{
public:
    /** @param prefix Start of all batch names, unique to this sender. */
    explicit bill_outbox(std::string prefix);

    /** Adds a bill. */
    void add(bill entry);
    /** @return Bills that the platform has not confirmed. */
    [[nodiscard]] std::size_t size() const;
    /** @return The batch to write, or none if there is nothing to write. */
    std::optional<named_batch> next_batch();
    /** The batch in flight is stored. @return Its bills. */
    std::vector<bill> confirm();

private:
    std::string prefix_;
    std::uint64_t sequence_ = 0;
    std::deque<bill> waiting_;
    std::optional<named_batch> in_flight_;
};

} // namespace rosemarydeck
