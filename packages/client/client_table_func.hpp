/** @file client_table_func.hpp Tables on the terminal. */
#pragma once

#include <string>
#include <vector>

namespace rosemarydeck
{

/** A row of cells. */
using table_row = std::vector<std::string>;

/**
 * Lays out a table.
 * @param head The column names. @param rows As many cells each.
 * @return Lines with columns two spaces apart.
 */
std::string format_table(const table_row& head,
                         const std::vector<table_row>& rows);

} // namespace rosemarydeck
