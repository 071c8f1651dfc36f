#ifndef CW_IO_MESSAGE_H
#define CW_IO_MESSAGE_H
/*
    HTTP/1.1 messages, read by http-parser and written by hand.

    One reader reads the messages of one connection, one after the other. cw_message_read takes bytes until a message
    ends and says how many it used, so that what follows a message is the owner's to judge: a pipelined request, or
    bytes after an answer that belong to nothing.
*/
#include <http_parser.h>

#include "../chalkway_core.h"
#include "buffer.h"

#define CW_MESSAGE_FIELDS 100 /* most header fields of one message */

typedef enum cw_message_kind_t { CW_MESSAGE_REQUEST = 0, CW_MESSAGE_RESPONSE } cw_message_kind_t;

typedef enum cw_message_state_t {
    CW_MESSAGE_IDLE = 0, /* no byte of it has come */
    CW_MESSAGE_HEAD,
    CW_MESSAGE_BODY,
    CW_MESSAGE_COMPLETE,
    CW_MESSAGE_BROKEN /* not HTTP, or ambiguous */
} cw_message_state_t;

typedef enum cw_framing_t {
    CW_FRAMING_NONE = 0, /* no body */
    CW_FRAMING_LENGTH,
    CW_FRAMING_CHUNKED,
    CW_FRAMING_CLOSE /* the body ends with the connection */
} cw_framing_t;

typedef struct cw_field_t {
    const char* name;
    const char* value;
} cw_field_t;

typedef struct cw_message_t cw_message_t;

typedef struct cw_message_handlers_t {
    /* The head is complete. May be NULL. */
    void (*on_head)(void* owner);
    /* A part of the body, without its framing. May be NULL. */
    void (*on_body)(void* owner, const char* data, size_t size);
} cw_message_handlers_t;

struct cw_message_t {
    const cw_message_handlers_t* handlers;
    void* owner;
    http_parser parser;
    cw_message_state_t state;
    bool bodiless; /* response to a HEAD request: set by the owner before the head comes */
    /* Of the head, valid from on_head until cw_message_reset. */
    const char* method; /* request */
    const char* target; /* request: path and query as sent */
    unsigned status;    /* response */
    cw_framing_t framing;
    uint64_t length; /* with CW_FRAMING_LENGTH */
    bool keep_alive; /* the peer's side of the connection may stay open */
    uint32_t field_count;
    cw_field_t fields[CW_MESSAGE_FIELDS];
    /* private */
    cw_buffer_t text;
    uint32_t offsets[CW_MESSAGE_FIELDS * 2]; /* of names and values in text */
    bool in_value;
    size_t head_bytes;
};

void cw_message_setup(cw_message_t* m, cw_message_kind_t kind, const cw_message_handlers_t* handlers, void* owner);
void cw_message_shutdown(cw_message_t* m);
/* Ready for the next message of the connection. */
void cw_message_reset(cw_message_t* m);
/* Reads up to the end of the message; returns the bytes used. */
size_t cw_message_read(cw_message_t* m, const char* data, size_t size);
/* The peer has closed: completes a body that ends with the connection. */
void cw_message_finish(cw_message_t* m);
/* Value of a field of the head, any case; NULL when absent. */
const char* cw_message_field(const cw_message_t* m, const char* name);
/* Number of fields of that name. */
uint32_t cw_message_field_times(const cw_message_t* m, const char* name);
/* Whether a field concerns one connection only and is never passed on; names that Connection lists included. */
bool cw_message_hop_field(const cw_message_t* m, const char* name);

/* Appends text, a field, the end of a head, a chunk, the last chunk. */
void cw_message_add_text(cw_buffer_t* out, const char* fmt, ...) __attribute__((format(printf, 2, 3)));
void cw_message_add_field(cw_buffer_t* out, const char* name, const char* value);
void cw_message_add_end(cw_buffer_t* out);
void cw_message_add_chunk(cw_buffer_t* out, const void* data, size_t size);
void cw_message_add_last_chunk(cw_buffer_t* out);
/* Standard reason phrase of a status. */
const char* cw_message_reason(unsigned status);

#endif
