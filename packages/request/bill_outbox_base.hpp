/** @file bill_outbox_base.hpp Bills not yet confirmed by the platform. */
#pragma once

#include "common/time_type.hpp"
#include "request/bill_type.hpp"

#include <deque>
#include <optional>
#include <string>

namespace rosemarydeck
{

/** A batch of bills and the name of its object on the platform, which is fixed
 *  before the first write. */
struct named_batch
{
    std::string name;
    bill_batch batch;

    bool operator==(const named_batch&) const = default;
};

/**
 * Queues bills and returns them in batches, one at a time. A batch keeps its
 * name and content until it is confirmed, so a write that is repeated because
 * its answer was lost can't store a bill twice.
 */
class bill_outbox
{
public:
    /** @param prefix Start of all batch names. No other instance may use it. */
    explicit bill_outbox(std::string prefix);

    void add(bill entry);
    /** @return Number of bills that the platform has not confirmed. */
    [[nodiscard]] std::size_t size() const;
    /** @return The batch to write: the unconfirmed one, or else a new one; none
     *  if there are no bills. */
    std::optional<named_batch> next_batch();
    /** Records that the platform has stored the batch that next_batch()
     *  returned. @return The bills of the batch. */
    std::vector<bill> confirm();

private:
    std::string prefix_;
    std::uint64_t last_batch_number_ = 0;
    std::deque<bill> unsent_;
    std::optional<named_batch> in_flight_;
};

} // namespace rosemarydeck
