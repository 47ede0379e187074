/** @file bill_writer_base.hpp Storage of bills in the platform. */
#pragma once

#include "core/core_context_base.hpp"
#include "request/bill_outbox_base.hpp"

namespace rosemarydeck
{

/** Writes bills to the platform in batches, and repeats failed writes. */
class bill_writer
{
public:
    explicit bill_writer(core_context& context);

    /** Queues a bill. */
    void add(const bill& entry);
    /** Writes a batch, unless one is in flight. */
    void on_timer();
    /** Handles the answer to a batch. @return Bills that are stored now. */
    std::vector<bill> on_answer(const platform_result& result);
    /** @return Number of bills that are not stored. */
    [[nodiscard]] std::size_t size() const { return bill_outbox_.size(); }
    /** @return True if the maximum of unstored bills is reached. */
    [[nodiscard]] bool backlog_full() const;

private:
    void write_batch();

    core_context& context_;
    bill_outbox bill_outbox_;
    bool writing_ = false;
    bool timer_set_ = false;
    unsigned failures_ = 0;
};

} // namespace rosemarydeck
