/** @file header_text_func.hpp HTTP/1.1 headers as text. */
#pragma once

#include <boost/beast/http/message.hpp>
#include <sstream>
#include <string>

namespace rosemarydeck
{

/** Appends the field lines and the blank line that ends a header. */
inline void append_fields(std::string& text,
                          const boost::beast::http::fields& fields)
{
    for (const auto& field : fields) {
        text.append(field.name_string());
        text += ": ";
        text.append(field.value());
        text += "\r\n";
    }
    text += "\r\n";
}

/** @return The request line and the header with its closing blank line. */
inline std::string
header_text(const boost::beast::http::request_header<>& header)
{
    std::string text(header.method_string());
    text += ' ';
    text.append(header.target());
    text += " HTTP/1.1\r\n";
    append_fields(text, header);
    return text;
}

/** @return The status line and the header with its closing blank line. */
inline std::string
header_text(const boost::beast::http::response_header<>& header)
{
    std::string text = "HTTP/1.1 " + std::to_string(header.result_int()) + ' ';
    text.append(header.reason());
    text += "\r\n";
    append_fields(text, header);
    return text;
}

/** @return Bytes as one chunk of a chunked body. */
inline std::string encode_chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace rosemarydeck
