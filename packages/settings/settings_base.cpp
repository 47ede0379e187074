/** @file settings_base.cpp Reads, checks and prints settings. */
#include "settings/settings_base.hpp"

#include "common/overload_func.hpp"
#include "settings/settings_table.hpp"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace rosemarydeck
{

namespace
{

/** Minimum length of a secret, in characters. */
constexpr std::size_t min_secret_length = 16;

/** A section and a key of the INI file. */
struct setting_name
{
    std::string section;
    std::string key;
};

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/** @return Line number of a key, or of its section's head if the key is empty;
 *  0 if there is none. */
std::size_t line_of(const std::string& text, const setting_name& name)
{
    std::istringstream lines(text);
    std::string line;
    std::string section;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        line = trimmed(line);
        if (!line.empty() && line.front() == '[') {
            section = trimmed(line.substr(1, line.find(']') - 1));
            if (name.key.empty() && section == name.section)
                return number;
        }
        else if (section == name.section &&
                 trimmed(line.substr(0, line.find('='))) == name.key)
            return number;
    }
    return 0;
}

const setting_row* find_row(const setting_name& name)
{
    for (const auto& row : settings_table())
        if (row.section == name.section && row.name == name.key)
            return &row;
    return nullptr;
}

/** @return Range and unit of a number, as text for people. */
std::string range_text(const setting_row& row)
{
    return std::to_string(row.min_value) + " to " +
           std::to_string(row.max_value) + " " + std::string(row.unit);
}

/** Parses a value and stores it. @return The fault, or empty text. */
std::string assign_value(settings& into, const setting_row& row,
                         const std::string& value)
{
    const auto as_number = [&](std::int64_t settings::*member) -> std::string {
        std::int64_t number = 0;
        const auto* end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return "'" + value + "' is not a whole number";
        if (number < row.min_value || number > row.max_value)
            return value + " is out of range; expected " + range_text(row);
        into.*member = number;
        return {};
    };
    const auto as_text = [&](std::string settings::*member) -> std::string {
        into.*member = value;
        return {};
    };
    return std::visit(overload{as_number, as_text}, row.member);
}

/** Checks what can't be checked line by line: required values, secrets and the
 *  kind of platform. */
void check_settings(const settings& values, std::vector<setting_fault>& faults)
{
    for (const auto& row : settings_table()) {
        const auto* text = std::get_if<std::string settings::*>(&row.member);
        if (text != nullptr && row.required && (values.**text).empty())
            faults.push_back({0, "[" + std::string(row.section) + "] " +
                                     std::string(row.name) +
                                     " is required but missing or empty"});
    }
    const auto check_secret = [&](const std::string& secret, const char* name) {
        if (!secret.empty() && secret.size() < min_secret_length)
            faults.push_back(
                {0, std::string(name) + " is shorter than 16 characters"});
    };
    check_secret(values.cluster_key, "[peers] cluster_key");
    check_secret(values.operator_key, "[operators] key");
    if (values.platform_kind != "http" && values.platform_kind != "embedded")
        faults.push_back({0, "[platform] kind must be http or embedded"});
}

} // namespace

settings default_settings()
{
    settings values;
    for (const auto& row : settings_table())
        assign_value(values, row, std::string(row.default_value));
    return values;
}

parsed_settings parse_settings(const std::string& text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    }
    catch (const boost::property_tree::ini_parser_error& fault) {
        return tl::unexpected(std::vector<setting_fault>{
            {fault.line(), "not valid INI: " + fault.message()}});
    }
    settings values = default_settings();
    std::vector<setting_fault> faults;
    for (const auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty())
            faults.push_back({line_of(text, {"", section}),
                              "'" + section + "' is set outside any section"});
        for (const auto& [key, value] : keys) {
            const setting_name name{section, key};
            const auto label = "[" + section + "] " + key;
            const auto* row = find_row(name);
            std::string fault = "is not a known setting";
            if (row != nullptr)
                fault = assign_value(values, *row, value.data());
            if (!fault.empty())
                faults.push_back({line_of(text, name), label + ": " + fault});
        }
    }
    check_settings(values, faults);
    if (faults.empty())
        return values;
    std::stable_sort(
        faults.begin(), faults.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return tl::unexpected(faults);
}

parsed_settings load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(
            std::vector<setting_fault>{{0, "cannot open the settings file"}});
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

std::string print_settings(const settings& values)
{
    std::string out;
    std::string_view section;
    for (const auto& row : settings_table()) {
        if (row.section != section) {
            section = row.section;
            out += (out.empty() ? "[" : "\n[") + std::string(section) + "]\n";
        }
        out += "; " + std::string(row.help);
        const auto as_number = [&](std::int64_t settings::*member) {
            out += " (" + range_text(row) + ", default " +
                   std::string(row.default_value) + ")";
            return std::to_string(values.*member);
        };
        const auto as_text = [&](std::string settings::*member) {
            return values.*member;
        };
        const auto value = std::visit(overload{as_number, as_text}, row.member);
        out += "\n" + std::string(row.name) + " = " + value + "\n";
    }
    return out;
}

} // namespace rosemarydeck
