/** @file object_sync_base.cpp How current a VM's knowledge of one kind of
 *  objects is. */
#include "router/object_sync_base.hpp"

#include <algorithm>

namespace rosemarydeck
{

const char* name_of(sync_answer answer)
{
    switch (answer) {
    case sync_answer::none:
        return "none";
    case sync_answer::list:
        return "list";
    case sync_answer::events:
        return "events";
    case sync_answer::no_events:
        return "no_events";
    }
    return "";
}

void object_sync::begin_watch(time_point now)
{
    evidence_.watch_began = now;
    news_at_.reset();
    checked_ = checked_before_ = 0;
}

void object_sync::end_watch()
{
    evidence_.watch_began.reset();
    news_at_.reset();
}

time_point object_sync::next_check(time_point now) const
{
    if (!evidence_.watch_began)
        return now + options_.check_interval;
    return std::max(*evidence_.watch_began, last_check_) +
           options_.check_interval;
}

bool object_sync::check_due(time_point now) const
{
    return evidence_.watch_began && now >= next_check(now);
}

void object_sync::record_check_failed(time_point now)
{
    last_check_ = now - options_.check_interval;
}

std::uint64_t object_sync::check_from() const
{
    return std::max(evidence_.revision, checked_before_);
}

void object_sync::record_no_news(std::uint64_t since, std::uint64_t revision)
{
    if (!evidence_.watch_began || evidence_.revision != since)
        return;
    checked_before_ = checked_;
    checked_ = std::max(checked_, revision);
}

void object_sync::record_news(std::uint64_t since, time_point now)
{
    // The watch, or another call, may have told the news meanwhile.
    if (evidence_.watch_began && evidence_.revision == since)
        news_at_ = now;
}

bool object_sync::overdue(time_point now) const
{
    return news_at_ && now >= *news_at_ + options_.answer_slack;
}

void object_sync::record_answer(sync_answer answer, std::uint64_t revision,
                                time_point now)
{
    evidence_.answer = answer;
    evidence_.heard = now;
    if (answer == sync_answer::no_events) {
        evidence_.revision =
            std::max(evidence_.revision, std::min(revision, checked_before_));
        return;
    }
    evidence_.told = evidence_.revision = revision;
}

} // namespace rosemarydeck
