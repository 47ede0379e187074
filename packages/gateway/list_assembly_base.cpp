/** @file list_assembly_base.cpp A list of the store, put together of pages. */
#include "gateway/list_assembly_base.hpp"

#include <iterator>

namespace rosemarydeck
{

expected<void> list_assembly::add(platform::store_list page)
{
    // The watch that follows starts at the first page, so it reports what
    // changed while later pages were read.
    if (std::exchange(first_, false))
        all_.revision = page.revision;
    std::move(page.objects.begin(), page.objects.end(),
              std::back_inserter(all_.objects));
    whole_ = !page.more;
    if (whole_)
        return {};
    if (page.last_name.empty() || !used_cursors_.insert(page.last_name).second)
        return tl::unexpected(error{
            error_code::invalid_input, "list objects", "store",
            "the list does not advance beyond \"" + page.last_name + "\""});
    cursor_ = std::move(page.last_name);
    return {};
}

} // namespace rosemarydeck
