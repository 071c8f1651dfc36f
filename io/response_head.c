#include "response_head.h"

#define HEAD_MAX_BYTES 81920 /* with interim heads and trailer fields; libcurl's limit is for one line */

static const cw_message_handlers_t no_handlers = {0};

void cw_response_head_setup(cw_response_head_t* h) {
    cw_message_setup(&h->message, CW_MESSAGE_RESPONSE, &no_handlers, NULL);
    h->bytes = 0;
    h->is_complete = h->is_malformed = false;
}

void cw_response_head_shutdown(cw_response_head_t* h) {
    cw_message_shutdown(&h->message);
}

static bool has_ended(const cw_message_t* m) {
    return m->state == CW_MESSAGE_BODY || m->state == CW_MESSAGE_COMPLETE;
}

/* Parses a line, unless it is a trailer field. */
static void parse_line(cw_response_head_t* h, const char* line, size_t size) {
    if (h->is_complete) {
        return;
    }
    cw_message_parse(&h->message, line, size);
    if (has_ended(&h->message) && h->message.status / 100 == 1) {
        cw_message_reset(&h->message);
    } else {
        h->is_complete = has_ended(&h->message);
    }
}

bool cw_response_head_add(cw_response_head_t* h, const char* line, size_t size) {
    h->bytes += size;
    if (h->bytes <= HEAD_MAX_BYTES) {
        parse_line(h, line, size);
    }
    h->is_malformed = h->bytes > HEAD_MAX_BYTES || h->message.state == CW_MESSAGE_MALFORMED;
    return !h->is_malformed;
}

size_t cw_response_head_on_line(char* line, size_t size, size_t count, void* head) {
    return cw_response_head_add(head, line, size * count) ? size * count : 0;
}

const char* cw_response_head_failure(const cw_response_head_t* h, CURLcode code) {
    /* CURLE_OUT_OF_MEMORY: a line is longer than libcurl's limit. */
    if (h->is_malformed || (code == CURLE_OUT_OF_MEMORY && !h->is_complete)) {
        return "the response head is malformed or too long";
    }
    if (code != CURLE_OK) {
        return curl_easy_strerror(code);
    }
    return h->is_complete ? "" : "the connection was closed within the response head";
}

bool cw_response_head_has_framing(const cw_response_head_t* h) {
    return h->is_complete && h->message.framing != CW_FRAMING_UNTIL_CLOSE;
}
