/** @file bill_writer_base.cpp Storage of bills in the platform. */
#include "core/bill_writer_base.hpp"

#include <nlohmann/json.hpp>

namespace rosemarydeck
{

bill_writer::bill_writer(core_context& context)
    : context_(context),
      bill_outbox_(bill_object_prefix + context.self().value() + "/")
{
}

void bill_writer::add(const bill& entry)
{
    bill_outbox_.add(entry);
    if (timer_set_ || writing_)
        return;
    timer_set_ = true;
    context_.schedule(context_.draining ? duration{}
                                        : context_.options.bill_flush_delay,
                      bills_timer{});
}

void bill_writer::on_timer()
{
    timer_set_ = false;
    if (!writing_)
        write_batch();
}

void bill_writer::write_batch()
{
    const auto batch = bill_outbox_.next_batch();
    if (!batch)
        return;
    writing_ = true;
    context_.platform.call(
        bills_purpose{},
        create_object{batch->name, nlohmann::json(batch->batch).dump()});
}

std::vector<bill> bill_writer::on_answer(const platform_result& result)
{
    writing_ = false;
    // The name is unique to this instance, so "already exists" means that an
    // earlier write of the same batch took effect.
    const bool stored =
        result || result.error().code == error_code::already_exists;
    if (!stored) {
        timer_set_ = true;
        context_.schedule(context_.backoff(failures_++), bills_timer{});
        return {};
    }
    failures_ = 0;
    const auto bills = bill_outbox_.confirm();
    context_.record(timeline_kind::bills_stored, {}, {},
                    std::to_string(bills.size()) + " bills");
    write_batch();
    return bills;
}

bool bill_writer::backlog_full() const
{
    return bill_outbox_.size() >= context_.options.max_unflushed_bills;
}

} // namespace rosemarydeck
