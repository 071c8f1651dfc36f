#ifndef CW_IO_BUFFER_H
#define CW_IO_BUFFER_H
/* Growable byte buffer, always zero-terminated once allocated. A zero-initialized cw_buffer_t is an empty buffer. */
#include <stddef.h>

typedef struct cw_buffer_t {
    char* data;  /* NULL until something is added */
    size_t size; /* bytes, without the terminating zero */
    size_t capacity;
} cw_buffer_t;

/* Appends size bytes; aborts the process when out of memory. */
void cw_buffer_add(cw_buffer_t* b, const void* data, size_t size);
/* Removes the first size bytes and moves the rest to the front. The buffer must have been allocated. */
void cw_buffer_consume(cw_buffer_t* b, size_t size);
/* Frees the memory; the buffer is empty and usable again. */
void cw_buffer_free(cw_buffer_t* b);
/* The content as a zero-terminated string; "" for an empty buffer. */
const char* cw_buffer_text(const cw_buffer_t* b);

#endif
