#ifndef CW_IO_MESSAGE_H
#define CW_IO_MESSAGE_H
/*
    HTTP/1.1 messages: parsed with http-parser, serialized by the functions at the end of this file.

    One cw_message_t parses the messages of one connection, one after the other. cw_message_parse stops at the end of a
    message and returns the number of bytes consumed. The caller decides what the remaining bytes are: a pipelined
    request, or stray bytes after a response.
*/
#include <http_parser.h>

#include "../chalkway_core.h"
#include "buffer.h"

#define CW_MESSAGE_MAX_FIELDS 100 /* header fields per message; a message with more is malformed */

typedef enum cw_message_kind_t { CW_MESSAGE_REQUEST = 0, CW_MESSAGE_RESPONSE } cw_message_kind_t;

typedef enum cw_message_state_t {
    CW_MESSAGE_IDLE = 0, /* no byte received yet */
    CW_MESSAGE_HEAD,
    CW_MESSAGE_BODY,
    CW_MESSAGE_COMPLETE,
    CW_MESSAGE_MALFORMED /* not HTTP/1, or ambiguous, such as a space in a field name */
} cw_message_state_t;

typedef enum cw_framing_t {
    CW_FRAMING_NONE = 0, /* no body */
    CW_FRAMING_LENGTH,
    CW_FRAMING_CHUNKED,
    CW_FRAMING_UNTIL_CLOSE /* the body ends when the peer closes the connection */
} cw_framing_t;

typedef struct cw_field_t {
    const char* name;
    const char* value;
} cw_field_t;

typedef struct cw_message_t cw_message_t;

typedef struct cw_message_handlers_t {
    /* Start line and header fields are complete. May be NULL. */
    void (*on_head)(void* owner);
    /* A piece of the body, with chunked framing removed. May be NULL. */
    void (*on_body)(void* owner, const char* data, size_t size);
} cw_message_handlers_t;

struct cw_message_t {
    const cw_message_handlers_t* handlers;
    void* owner;
    http_parser parser;
    cw_message_state_t state;
    bool is_bodiless; /* response to a HEAD request; the owner sets it before parsing the response */
    /* Parsed head, valid from on_head until cw_message_reset. */
    const char* method;   /* of a request */
    const char* target;   /* of a request: path and query as sent */
    unsigned status;      /* of a response: 100 to 599, but not 101, since no request asks for an upgrade */
    cw_framing_t framing; /* as stated by the head; no body follows in response to HEAD or with status 304 */
    uint64_t length;      /* Content-Length with CW_FRAMING_LENGTH, else 0 */
    bool keep_alive;      /* the message allows the connection to be reused */
    uint32_t field_count;
    cw_field_t fields[CW_MESSAGE_MAX_FIELDS];
    /* private */
    cw_buffer_t text;                            /* target, names and values, each zero-terminated */
    uint32_t offsets[CW_MESSAGE_MAX_FIELDS * 2]; /* start of each name and value in text: name, value, name, ... */
    bool is_in_value;
    size_t head_bytes;      /* of the head, received so far */
    size_t line_bytes;      /* of the line that is being received: of the head, or of the framing of chunks */
    char previous_byte;     /* of that line */
    uint64_t chunk_bytes;   /* of the chunk, not received yet */
    bool is_chunk_received; /* the line end after the chunk's data is due */
};

void cw_message_setup(cw_message_t* m, cw_message_kind_t kind, const cw_message_handlers_t* handlers, void* owner);
void cw_message_shutdown(cw_message_t* m);
/* Prepares for the next message of the connection; the parsed head becomes invalid. */
void cw_message_reset(cw_message_t* m);
/* Whether a response with this status may have a body (RFC 9112, 6.3). */
bool cw_message_status_has_body(unsigned status);
/* Parses up to the end of the message and returns the number of bytes consumed. On invalid input or a protocol
   upgrade the state becomes CW_MESSAGE_MALFORMED. Consumes nothing once the message is complete or malformed. */
size_t cw_message_parse(cw_message_t* m, const char* data, size_t size);
/* To be called when the peer has closed the connection: completes a body with CW_FRAMING_UNTIL_CLOSE. */
void cw_message_on_close(cw_message_t* m);
/* Name of a framing for logs: "none", "length", "chunked" or "close". */
const char* cw_framing_name(cw_framing_t framing);
/* Value of the first header field with this name, compared without case; NULL when absent. */
const char* cw_message_field(const cw_message_t* m, const char* name);
/* Number of header fields with this name, compared without case. */
uint32_t cw_message_count_field(const cw_message_t* m, const char* name);
/* Whether a proxy must not forward the field as received: hop-by-hop fields, fields that Connection lists, and
   Content-Length and Expect. */
bool cw_message_is_hop_by_hop(const cw_message_t* m, const char* name);

/* Append to a message: formatted text (cut off at 511 bytes), a header field, the empty line that ends the head, a
   chunk of a chunked body (nothing for size 0), and the last chunk. */
void cw_message_add_text(cw_buffer_t* out, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
void cw_message_add_field(cw_buffer_t* out, const char* name, const char* value);
void cw_message_end_head(cw_buffer_t* out);
void cw_message_add_chunk(cw_buffer_t* out, const void* data, size_t size);
void cw_message_add_last_chunk(cw_buffer_t* out);
/* Standard reason phrase of a status code, "Unknown" for a code without one. */
const char* cw_message_reason_phrase(unsigned status);

#endif
