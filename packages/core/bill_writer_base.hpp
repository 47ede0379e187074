/** @file bill_writer_base.hpp Writes bills to the platform. */
#pragma once

#include "core/core_context_base.hpp"
#include "request/bill_outbox_base.hpp"

namespace rosemarydeck
{

/** Keeps bills until the platform has confirmed them. */
class bill_writer
{
public:
    explicit bill_writer(core_context& context);

    /** Takes a bill to be stored. */
    void add(const bill& entry);
    /** Time to write a batch. */
    void on_timer();
    /** A batch's platform call is answered. @return Bills now stored. */
    std::vector<bill> on_answer(const platform_result& result);
    /** @return Bills not yet stored. */
    [[nodiscard]] std::size_t size() const { return outbox_.size(); }
    /** @return True if no more bills can be kept. */
    [[nodiscard]] bool backlog_full() const;

private:
    void write();

    core_context& context_;
    bill_outbox outbox_;
    bool writing_ = false;
    bool timer_set_ = false;
    unsigned failures_ = 0;
};

} // namespace rosemarydeck
