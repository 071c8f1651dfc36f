#include "response_head.h"

#define HEAD_MAX_BYTES 81920 /* libcurl has no limit */

static const cw_message_handlers_t no_handlers = {0};

void cw_response_head_setup(cw_response_head_t* h) {
    cw_message_setup(&h->message, CW_MESSAGE_RESPONSE, &no_handlers, NULL);
    h->bytes = 0;
    h->is_complete = false;
}

void cw_response_head_shutdown(cw_response_head_t* h) {
    cw_message_shutdown(&h->message);
}

static bool has_ended(const cw_message_t* m) {
    return m->state == CW_MESSAGE_BODY || m->state == CW_MESSAGE_COMPLETE;
}

bool cw_response_head_add(cw_response_head_t* h, const char* line, size_t size) {
    h->bytes += size;
    if (h->bytes > HEAD_MAX_BYTES) {
        return false;
    }
    if (h->is_complete) {
        return true; /* a trailer field */
    }
    cw_message_parse(&h->message, line, size);
    if (h->message.state == CW_MESSAGE_MALFORMED) {
        return false;
    }
    if (has_ended(&h->message) && h->message.status / 100 == 1) {
        cw_message_reset(&h->message);
    } else {
        h->is_complete = has_ended(&h->message);
    }
    return true;
}

bool cw_response_head_has_framing(const cw_response_head_t* h) {
    return h->is_complete && h->message.framing != CW_FRAMING_UNTIL_CLOSE;
}
