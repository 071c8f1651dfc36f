#ifndef CW_GATEWAY_REQUEST_HEAD_H
#define CW_GATEWAY_REQUEST_HEAD_H
/* Heads that are passed on: which fields are kept, dropped and set. */
#include "../chalkway_balance.h"
#include "../io/message.h"
#include "dialect.h"

/* What the gateway sets on a request to a server. */
typedef struct request_head_t {
    const char* request_id; /* for a caller that sent none */
    const char* workspace;  /* NULL: none */
    const char* server;
    const char* fetch_from; /* NULL: none */
    const char* last_event; /* NULL: the caller's own field stays */
    uint32_t deadline_ms;
    uint32_t priority;
    bool has_priority;
    size_t body_size;
} request_head_t;

/* Writes the head of the caller's request as a server gets it. */
void request_head_write(cw_buffer_t* out, const dialect_t* dialect, const cw_message_t* request,
                        const request_head_t* set);
/* Writes the fields of a server's answer that are passed on to the caller. */
void answer_fields_write(cw_buffer_t* out, const cw_message_t* answer);
/* Name of a field that the gateway must read and can't, given twice or malformed; NULL: all can be read. */
const char* request_fields_check(const dialect_t* dialect, const cw_message_t* request);
/* The time in ms that the caller will wait, 0: it doesn't say; false: malformed. */
bool request_deadline_read(const dialect_t* dialect, const cw_message_t* request, double* ms);
/* The id of a part of a prompt by its name, as requests and engines write it, in hex; 0: it is no such name. */
uint64_t request_part_id(const char* name);
/* Reads what a request says of its prompt. */
void request_work_read(cw_work_t* work, const dialect_t* dialect, const cw_message_t* request);
/* The key that a request carries, in out; false: none. */
bool request_key_read(const dialect_t* dialect, const cw_message_t* request, char* out, size_t size);

#endif
