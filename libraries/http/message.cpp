#include "libraries/http/message.h"

#include <civetweb.h>

namespace wisterialane::http {

const char* reason_phrase(int status)
{
    const char* text = mg_get_response_code_text(nullptr, status);
    return text == nullptr ? "Status" : text;
}

} // namespace wisterialane::http
