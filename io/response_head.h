#ifndef CW_IO_RESPONSE_HEAD_H
#define CW_IO_RESPONSE_HEAD_H
/*
    Head of a response that libcurl receives, for use in its header callback.

    libcurl reports success when the connection is closed inside the head of a response that has no body. Only the empty
    line that ends a head proves that it is complete. Interim heads (1xx) are skipped, trailer fields are ignored.
*/
#include <curl/curl.h>

#include "message.h"

typedef struct cw_response_head_t {
    cw_message_t message; /* the head, once is_complete */
    size_t bytes;         /* received so far, with interim heads and trailer fields */
    bool is_complete;     /* the head of the final response has ended */
    bool is_malformed;    /* or too long */
} cw_response_head_t;

void cw_response_head_setup(cw_response_head_t* h);
void cw_response_head_shutdown(cw_response_head_t* h);
/* Adds a line. Returns false if the head is malformed or too long: the transfer must be aborted. */
bool cw_response_head_add(cw_response_head_t* h, const char* line, size_t size);
/* The same, with the signature of CURLOPT_HEADERFUNCTION. head: the cw_response_head_t. */
size_t cw_response_head_on_line(char* line, size_t size, size_t count, void* head);
/* Why the transfer, which ended with code, brought no complete response; "" if it did. */
const char* cw_response_head_failure(const cw_response_head_t* h, CURLcode code);
/* Whether the response states where its body ends: by its status, Content-Length or chunked framing. */
bool cw_response_head_has_framing(const cw_response_head_t* h);

#endif
