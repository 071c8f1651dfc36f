#ifndef CW_IO_BUFFER_H
#define CW_IO_BUFFER_H
/* Bytes that grow at their end, always with a zero after the last one. All zero is an empty buffer. */
#include <stddef.h>

typedef struct cw_buffer_t {
    char* data; /* NULL while nothing was added */
    size_t size;
    size_t capacity;
} cw_buffer_t;

/* Appends; aborts when memory runs out. */
void cw_buffer_add(cw_buffer_t* b, const void* data, size_t size);
/* Drops the first size bytes. */
void cw_buffer_drop(cw_buffer_t* b, size_t size);
void cw_buffer_free(cw_buffer_t* b);
/* The text, "" when nothing was added. */
const char* cw_buffer_text(const cw_buffer_t* b);

#endif
