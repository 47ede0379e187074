/** @file list_assembly_base.hpp A list of the store, put together of pages. */
#pragma once

#include "platform/platform_store_func.hpp"

#include <set>

namespace rosemarydeck
{

/**
 * Puts the pages of a list together, and tells whether it is whole. A list that
 * breaks off must never pass for a whole one: what is missing in it would count
 * as gone.
 */
class list_assembly
{
public:
    /** Adds the page that follows on cursor().
     *  @return error_code::invalid_input if more pages follow, but this one
     *          doesn't lead to them: it ends with a name that an earlier one
     *          has ended with, or has no name. */
    expected<void> add(platform::store_list page);
    /** @return True once the last page was added. */
    [[nodiscard]] bool whole() const { return whole_; }
    /** @return The name on which the next page follows; empty at first. */
    [[nodiscard]] const std::string& cursor() const { return cursor_; }
    /** @return All objects, with the revision of the first page. */
    [[nodiscard]] platform::store_list take() && { return std::move(all_); }

private:
    platform::store_list all_;
    std::string cursor_;
    std::set<std::string> used_cursors_;
    bool first_ = true;
    bool whole_ = false;
};

} // namespace rosemarydeck
