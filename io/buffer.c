#include "buffer.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY_BYTES 256

void cw_buffer_add(cw_buffer_t* b, const void* data, size_t size) {
    size_t needed = b->size + size + 1;
    if (needed > b->capacity) {
        size_t capacity = b->capacity ? b->capacity : INITIAL_CAPACITY_BYTES;
        while (capacity < needed) {
            capacity *= 2;
        }
        char* grown = realloc(b->data, capacity);
        if (!grown) {
            abort();
        }
        b->data = grown;
        b->capacity = capacity;
    }
    if (size) {
        memcpy(b->data + b->size, data, size);
    }
    b->size += size;
    b->data[b->size] = 0;
}

void cw_buffer_consume(cw_buffer_t* b, size_t size) {
    memmove(b->data, b->data + size, b->size - size + 1);
    b->size -= size;
}

void cw_buffer_free(cw_buffer_t* b) {
    free(b->data);
    *b = (cw_buffer_t){0};
}

const char* cw_buffer_text(const cw_buffer_t* b) {
    return b->data ? b->data : "";
}
